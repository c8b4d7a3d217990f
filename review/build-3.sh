#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, which use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -C opt-level=2 -o target/review-3/review-3 review/standins-3/main.rs
