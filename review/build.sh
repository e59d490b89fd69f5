#!/usr/bin/env bash
# Checks the stand-ins and the cases, which need python3 (3.9 or later) and nothing besides.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in standin/*.py [0-9]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
