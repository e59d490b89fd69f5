#!/usr/bin/env bash
# Builds the program that runs the cases 11 to 15 with their stand-ins. It needs the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/rig-3/main.rs
