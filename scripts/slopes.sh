#!/usr/bin/env bash
# Measures how the cost of each role grows and fits lines: the figures of docs/CAPACITY.md.
# Usage: scripts/slopes.sh [ROLE...]; without a role all are measured, in under 8 minutes.
# Roles: probe rounds heartbeats peer_calls targets changes objects front entries.
# Rows go to standard output and to out/slopes.csv. Needs no other load on the machine to be exact.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --quiet --bin rattand
cargo build --release --quiet -p rattan --example slopes
exec target/release/examples/slopes "$@"
