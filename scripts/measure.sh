#!/usr/bin/env bash
# Measures both deployments' workloads: four routing policies, six faults, and overload. Prints one
# table; writes out/measure.csv and out/measure.svg. Takes under 10 minutes after the build.
# Usage: scripts/measure.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --quiet -p rattan --bin rattand --example measure
exec target/release/examples/measure target/release/rattand out "$@"
