#!/usr/bin/env bash
# Runs the seeded history checks with ever new seeds for SECONDS seconds, beginning at SEED:
#   scripts/soak.sh SECONDS SEED
# Prints each seed. Ends with code 1 at the first failure, whose output and history are kept in
# out/soak; run the printed command to replay it. Tests listed in KNOWN-RED.txt are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds="${1:?usage: scripts/soak.sh SECONDS SEED}"
seed="${2:?usage: scripts/soak.sh SECONDS SEED}"
round_seeds=100
# Package, test file and test of each check that reads TEST_SEED and TEST_RUNS, and how many of a
# round's seeds it runs.
checks=(
    "configuration accepted_configuration accepted_configuration_never_reverts 100"
    "rattan block_reads no_freed_or_partial_block_is_read 5"
    "rattan block_moves returning_prompts_use_whole_blocks_only 1"
    "rattan whole_answers answers_are_whole_and_ones_own_or_end_in_an_error 1"
    "rattan not_run refusals_agree_with_what_ran 2"
    "entry promise_model promises_agree_with_what_callers_and_targets_see 3"
    "platform fleet_soak rules_hold_while_processes_fail 3"
    "platform fleet_soak rules_hold_while_links_and_processes_fail 4"
    "platform fleet_soak rules_hold_while_links_to_targets_end_connections_regularly 4"
    "platform fleet_soak rules_hold_while_links_end_short_unframed_answers 4"
    "platform fleet_soak rules_hold_while_late_links_end_beside_restarts_and_stops 4"
    "platform fleet_soak rules_hold_while_copies_of_refusals_come_late 4"
    "platform store_returns rules_hold_while_all_start_again_with_the_service 2"
    "platform store_returns rules_hold_while_instances_live_through_the_return 2"
    "platform fleet_soak soak_shows_which_rule_a_broken_statement_breaks 1"
)

mkdir -p out/soak
export TEST_HISTORY_DIR="$PWD/out/soak"
cargo build --quiet --workspace --bins
cargo test --quiet --workspace --no-run
end=$((SECONDS + seconds))
while [ "$SECONDS" -lt "$end" ]; do
    export TEST_SEED="$seed"
    for check in "${checks[@]}"; do
        read -r package file test runs <<<"$check"
        if grep -q "^$package::$file::$test |" KNOWN-RED.txt; then
            echo "KNOWN RED, passed over: $package::$file::$test"
            continue
        fi
        export TEST_RUNS="$runs"
        echo "seeds $seed to $((seed + runs - 1)): $package $test"
        log="out/soak/$package-$file-$seed.log"
        if ! cargo test --quiet -p "$package" --test "$file" "$test" -- --nocapture >"$log" 2>&1; then
            cat "$log"
            echo "FAILED; replay: TEST_SEED=$seed TEST_RUNS=$runs cargo test -p $package --test $file $test"
            exit 1
        fi
        grep -hE '^([0-9]|seed )' "$log" || true
        rm "$log"
    done
    seed=$((seed + round_seeds))
done
echo "soak: no failure; the next seed is $seed"
