#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
