#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into the build folder, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O --crate-name standin_2 review/standin-2/main.rust -o target/review-2/standin-2
