#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10: one program, with the standard library
# alone. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/world review/standin-2/world.rs
