#!/usr/bin/env bash
# Fails if a name of the operating platform stands in Rust code outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."

names=(
    'x-rattanpost-' 'X-Rattanpost-' 'kv-range' 'kv-watch' 'kv-txn' 'kv-lease' 'kv-keep' 'kv-key'
    'kv-events' 'kv-list' 'kv-free' 'kv-copy' 'kv-move' 'op/config' 'op/version' 'op/evacuate' '"servers/'
    'RATTANPOST_NODE_FILE' 'tenants\b' 'pathPrefix' 'bootEpoch' 'boot_epoch' 'seqNo' 'seq_no' 'ttlS' 'maxAttempts' 'kvCapacity' 'trafficSplit' 'non_idempotent'
)
pattern="$(IFS='|'; echo "${names[*]}")"
if git grep -nE "$pattern" -- '*.rs' ':!platform'; then
    echo "the names above belong to the platform; decode them in platform/" >&2
    exit 1
fi
