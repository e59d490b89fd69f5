#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/release/primrosemux-hostd ] || [ ! -x target/review-2/world ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
target/review-2/world frozen review/6/record.txt
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
