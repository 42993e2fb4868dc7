#!/usr/bin/env bash
# Plays days on a site and prints one line for each: held, or the rules that were broken.
# Usage: scripts/play-days.sh BENCH SITE JOBS SEEDS DAY-FILE...
# SEEDS: how often each day is played, each time with another seed and varied times.
set -euo pipefail
cd "$(dirname "$0")/.."
bench="$1" site="$2" jobs="$3" seeds="$4"
shift 4
play() {
    local bench="$1" site="$2" file="$3" seed="$4" name text line
    name="$(basename "$file" .toml)"
    text="$("$bench" run "$site" "$file" --seed "$seed" --vary 2>&1)" || true
    line="$(grep -m1 -A1 '^day  ' <<<"$text" | tail -1 | awk '{print $4, $5, $6, $7}')"
    rules="$(grep -m1 '^rules broken:' <<<"$text" || true)"
    if [ -z "$line" ]; then rules="NOT PLAYED: $(tail -1 <<<"$text")"; fi
    echo "$(basename "$site" .toml) $name seed $seed: worth/served/refused/failed $line ${rules:-held}"
}
export -f play
for file in "$@"; do
    for ((i = 1; i <= seeds; i++)); do
        printf '%s\0%s\0%s\0%s\0' "$bench" "$site" "$file" "$((i * 7919))"
    done
done | xargs -0 -n 4 -P "$jobs" bash -c 'play "$@"' _
