#!/usr/bin/env bash
# Runs the main job on stand-ins: a prompt is served, evicted from engine memory, and served again
# from a store. Exits non-zero if the second visit computed the prefix again.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --workspace --bins --example demo
bin=target/debug
demo=$bin/examples/demo
logs="$(mktemp -d)"
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$logs"
}
trap stop_all EXIT

# Starts a process in the background and waits until it says that it listens.
start() {
    local name="$1"
    shift
    "$@" >"$logs/$name.out" 2>"$logs/$name.err" &
    pids+=($!)
    for _ in $(seq 100); do
        grep -q '^listening on' "$logs/$name.out" && return
        kill -0 "${pids[-1]}" 2>/dev/null || break
        sleep 0.1
    done
    echo "demo: $name did not start:" >&2
    cat "$logs/$name.err" >&2
    exit 1
}

start kv $bin/standin kv --listen 127.0.0.1:19001
start instances $bin/standin instances --listen 127.0.0.1:19002
for i in 1 2 3 4; do
    start "tasboulak-engine-$i" $bin/standin engine --listen "127.0.0.1:1910$i" \
        --version 7a50c1e4b29f83d6 --memory-tokens 60000 --link-bytes-per-s 20000000
    start "frio-engine-$i" $bin/standin engine --listen "127.0.0.1:1911$i" \
        --version c3d91f07e6a84b52 --memory-tokens 60000 --link-bytes-per-s 20000000
done
for i in 1 2; do
    start "tasboulak-store-$i" $bin/standin store --listen "127.0.0.1:1912$i" --link-bytes-per-s 20000000
    start "frio-store-$i" $bin/standin store --listen "127.0.0.1:1913$i" --link-bytes-per-s 20000000
done
start cut-orders $bin/standin service --listen 127.0.0.1:19141
start callouts $bin/standin service --listen 127.0.0.1:19151

export RATTAN_OPERATOR_KEY=demo-key-operator
operator_digest="$(printf '%s' "$RATTAN_OPERATOR_KEY" | $bin/rattan digest)"
entries=()
for i in 1 2 3 4; do
    domain="almaty-$((i % 3 + 1))"
    entries+=("entry-$i=127.0.0.1:1920$i=127.0.0.1:1930$i=$domain")
done
$demo list 127.0.0.1:19002 "${entries[@]}"
for i in 1 2 3 4; do
    start "entry-$i" env RATTAN_PEER_KEYS=demo-key-between-entry-instances \
        $bin/rattand --instance "entry-$i" --region almaty --failure-domain "almaty-$((i % 3 + 1))" \
        --listen "127.0.0.1:1920$i" --peer-listen "127.0.0.1:1930$i" \
        --kv-endpoints 127.0.0.1:19001 --instance-list 127.0.0.1:19002 \
        --operator-key-digests "$operator_digest"
done

rattan() { $bin/rattan --entry 127.0.0.1:19201 "$@"; }
rattan apply -f examples/tasboulak.json
rattan apply -f examples/frio-austral.json
sleep 1

# Visits with the prompt and explains the visit once its record says what is waited for.
visit() {
    local line request awaited="$1"
    line="$($demo visit 127.0.0.1:19201 demo-key-countertop-chain template-review)"
    request="${line#request=}"
    request="${request%% *}"
    for _ in $(seq 50); do
        rattan explain "$request" 2>/dev/null >"$logs/explained" && grep -q "$awaited" "$logs/explained" && break
        sleep 0.2
    done
    echo "$line"
    cat "$logs/explained"
}

echo
echo "== first visit"
visit Exported | tee "$logs/first"
sleep 1
echo
echo "== every engine drops its prefix memory, as after hours"
$demo forget 127.0.0.1:1910{1,2,3,4}
sleep 1
echo
echo "== second visit"
visit Finished | tee "$logs/second"

prompt_tokens="$(grep -o 'prompt_tokens=[0-9]*' "$logs/second" | cut -d= -f2)"
cached_tokens="$(grep -o 'cached_tokens=[0-9]*' "$logs/second" | cut -d= -f2)"
echo
if [ "$cached_tokens" -lt "$((prompt_tokens * 9 / 10))" ]; then
    echo "demo: the second visit computed the prefix again ($cached_tokens of $prompt_tokens tokens from cache)" >&2
    exit 1
fi
echo "== done: the second visit took $cached_tokens of $prompt_tokens prompt tokens from cache"
