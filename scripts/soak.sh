#!/usr/bin/env bash
# Runs the seeded history checks with ever new seeds for SECONDS seconds, beginning at SEED:
#   scripts/soak.sh SECONDS SEED
# Prints each seed. Ends with code 1 at the first failure, whose output and history are kept in
# out/soak; run the printed command to replay it.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds="${1:?usage: scripts/soak.sh SECONDS SEED}"
seed="${2:?usage: scripts/soak.sh SECONDS SEED}"
runs=100
# Package, test file and test of each check that reads TEST_SEED and TEST_RUNS.
checks=(
    "configuration accepted_configuration accepted_configuration_never_reverts"
)

mkdir -p out/soak
export TEST_HISTORY_DIR="$PWD/out/soak" TEST_RUNS="$runs"
cargo test --quiet --workspace --no-run
end=$((SECONDS + seconds))
while [ "$SECONDS" -lt "$end" ]; do
    export TEST_SEED="$seed"
    for check in "${checks[@]}"; do
        read -r package file test <<<"$check"
        echo "seeds $seed to $((seed + runs - 1)): $package $test"
        log="out/soak/$package-$seed.log"
        if ! cargo test --quiet -p "$package" --test "$file" "$test" -- --nocapture >"$log" 2>&1; then
            cat "$log"
            echo "FAILED; replay: TEST_SEED=$seed TEST_RUNS=$runs cargo test -p $package --test $file $test"
            exit 1
        fi
        grep -h '^[0-9]' "$log" || true
        rm "$log"
    done
    seed=$((seed + runs))
done
echo "soak: no failure; the next seed is $seed"
