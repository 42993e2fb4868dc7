#!/usr/bin/env bash
# Writes deploy/days/: one day for each kind of trouble and each variant of it, which comes twice,
# early and late. Run it again after a change of the list below; the files are committed.
set -euo pipefail
cd "$(dirname "$0")/.."
out=deploy/days
mkdir -p "$out"

# Writes one day: NAME SECTION ENTRY...; entries come at second 6 and again at second 20.
day() {
    local name="$1" section="$2" early="" late="" entry
    shift 2
    for entry in "$@"; do
        early+="  { at = 6.0, $entry },"$'\n'
        late+="  { at = 20.0, $entry },"$'\n'
    done
    local plan="" faults=""
    if [ "$section" = plan ]; then plan="$early$late"; else faults="$early$late"; fi
    cat > "$out/$name.toml" <<DAY
[[day]]
name = "$name"
slot = "trouble"
seed = $(printf '%s' "$name" | cksum | cut -d' ' -f1)
plan = [
$plan]
faults = [
$faults]
DAY
}
fault() { day "$1" faults "${@:2}"; }
planned() { day "$1" plan "${@:2}"; }

fault burst 'kind = "burst", x = 2.5, for_s = 5.0'
fault retry-abuse 'kind = "retry_abuse", share = 0.3, x = 3.0, for_s = 6.0'
fault give-up 'kind = "give_up", share = 0.4, for_s = 6.0'
fault give-up-once 'kind = "give_up", share = 0.4, for_s = 6.0, how = "once"'
fault shift 'kind = "shift", share = 0.7, for_s = 6.0'
for how in "" dark gone domain "across all"; do
    fault "crash${how:+-${how// /-}}" "kind = \"srv_crash\", share = 0.3, for_s = 4.0, how = \"$how\", service = \"@s0\""
done
for how in errors shed busy hang reset mute slow; do
    fault "grey-$how" "kind = \"srv_grey\", share = 0.25, x = 0.5, for_s = 6.0, how = \"$how\""
done
planned release 'kind = "release", share = 0.6, x = 2.0, gap_s = 0.8'
for how in "" spot reclaim; do
    planned "scale-in${how:+-$how}" "kind = \"scale_in\", share = 0.2, how = \"$how\""
done
planned scale-out 'kind = "scale_out", share = 0.3, gap_s = 0.3'
for how in "" reset; do
    fault "answer-lost${how:+-$how}" "kind = \"answer_lost\", share = 0.6, x = 0.2, for_s = 6.0, how = \"$how\""
done
for how in "" extra unframed early rot "extra late"; do
    fault "garble${how:+-${how// /-}}" "kind = \"garble\", share = 0.6, x = 0.1, for_s = 6.0, how = \"$how\""
done
for how in "" power leader "leader race" "leader race drain" "meet drain" "leader hard"; do
    fault "kill${how:+-${how// /-}}" "kind = \"node_kill\", count = 1, for_s = 3.0, how = \"$how\""
done
for how in "" renewed leader giver "giver renewed" "leader race"; do
    fault "freeze${how:+-${how// /-}}" "kind = \"node_freeze\", count = 1, for_s = 5.0, how = \"$how\""
done
for how in "" busy leader; do
    planned "roll${how:+-$how}" "kind = \"roll_term\", share = 0.6, gap_s = 1.5, how = \"$how\""
done
fault herd-kill 'kind = "herd_kill", share = 0.7, for_s = 2.0'
fault herd-power 'kind = "herd_kill", share = 1.0, for_s = 2.0, how = "power", on = "core"'
for how in "" planned leader; do
    fault "replace${how:+-$how}" "kind = \"replace_core\", x = 2.0, how = \"$how\""
done
for how in ahead back; do
    fault "clock-$how" "kind = \"clock_step\", share = 0.5, x = 4000.0, for_s = 5.0, how = \"$how\""
done
planned hup 'kind = "hup", share = 0.7, gap_s = 1.0'
for how in "" leader "leader refuse" "leader race" giver one_way both relieve "reset meet"; do
    fault "core-cut${how:+-${how// /-}}" "kind = \"core_cut\", count = 1, for_s = 5.0, how = \"$how\""
done
for how in "" all servers "servers reborn" meet "reset revoke"; do
    fault "node-cut${how:+-${how// /-}}" "kind = \"node_cut\", share = 0.3, for_s = 5.0, how = \"$how\""
done
fault lossy 'kind = "lossy", x = 0.05, for_s = 6.0, zone = "@z0"'
for how in silent busy reset "silent lapse" "busy lapse" "nodes" "nodes busy" "nodes many" \
    "nodes reset revoke meet" "nodes leader busy" "nodes busy revoke meet drain"; do
    fault "store-down-${how// /-}" "kind = \"platform_down\", for_s = 5.0, how = \"$how\""
done
fault store-slow 'kind = "platform_slow", x = 90.0, for_s = 5.0'
for how in "" late; do
    fault "store-lost${how:+-$how}" "kind = \"platform_lost\", x = 0.4, for_s = 6.0, how = \"$how\""
done
for how in "" drain; do
    fault "store-compact${how:+-$how}" "kind = \"platform_compact\", x = 5.0, for_s = 6.0, how = \"$how\""
done
for how in route weights timeout tenant idle; do
    planned "config-$how" "kind = \"config_change\", how = \"$how\""
done
planned big-config 'kind = "big_config", count = 400'
for how in "" last; do
    planned "revoke${how:+-$how}" "kind = \"revoke\", count = 3, gap_s = 0.4, how = \"$how\""
done
for how in "" orders all; do
    fault "late-orders${how:+-$how}" "kind = \"applied_late\", x = 0.5, for_s = 6.0, how = \"$how\"" \
        'kind = "give_up", share = 0.0, for_s = 0.1'
done
fault kv-slow 'kind = "kv_slow", share = 0.4, x = 8.0, for_s = 6.0'
fault events-gap 'kind = "events_gap", share = 0.6, for_s = 6.0'
planned versions 'kind = "version_bump", count = 0'
fault slow-targets 'kind = "srv_slow", share = 0.3, x = 4.0, for_s = 6.0'
for how in "" fronts some one_way reset reborn; do
    fault "target-cut${how:+-$how}" "kind = \"srv_cut\", share = 0.25, x = 0.5, for_s = 5.0, how = \"$how\""
done
for how in "" drain dark; do
    fault "reuse${how:+-$how}" "kind = \"replace_with_reuse\", share = 0.25, how = \"$how\""
done
fault slow-instances 'kind = "node_slow", share = 0.4, x = 5.0, for_s = 6.0'
for how in "" kill timed; do
    fault "ack-kill${how:+-$how}" "kind = \"after_ack_kill\", for_s = 2.0, how = \"$how\""
done
fault reset-connections 'kind = "reset_conns", share = 0.5, x = 0.6'
