#!/bin/sh
# Builds the stand-ins of the scripts: one program, with the compiler alone and no library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rust
