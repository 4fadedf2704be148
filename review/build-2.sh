#!/bin/sh
# Builds the stand-ins and the cases of the second review. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml
