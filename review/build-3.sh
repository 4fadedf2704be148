#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 with the compiler alone, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in endless_events slow_readers killed_instances forgotten_streams former_keys; do
    rustc --edition 2024 -O -o "target/review-3/$case" "review/standins-3/$case.rs"
done
