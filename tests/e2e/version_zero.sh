#!/usr/bin/env bash
# version_zero.sh BUILD -- the operator's first configuration has version 0.
# Guards against a configuration that is acknowledged and then lost: it has to
# be read back, to be served by entries, and to outlive all control hosts.

BUILD=$(realpath "$1")
. "$(dirname "$0")/segment_lib.sh"

# serve_requests NAME HOST -- ten flows of two requests each; all must be
# answered.
serve_requests () {
  "$BUILD/tests/segment_peer" --listen "$NET.$2:$SEGMENT_PORT" \
    --entries "$NET.11:$SEGMENT_PORT,$NET.12:$SEGMENT_PORT" \
    --address "$SERVICE" --flows 10 --requests 2 --pause-ms 60 caller \
    >"$WORK/$1.out"
  cat "$WORK/$1.out"
  grep -q '^answered=20 failed=0 ' "$WORK/$1.out"
}

# in_force_at_entries VERSION -- whether both entries report VERSION.
in_force_at_entries () {
  [ "$(tool cluster | grep -c "^  entry .*configuration $1\$")" = 2 ]
}

echo "nothing is in force before the first configuration"
start_segment_processes
wait_for 10 tool cluster >/dev/null
tool cluster | grep -q ', configuration none$'
wait_for 10 in_force_at_entries none

echo "version 0 is acknowledged, again too, read back and served"
print_configuration 0 >"$WORK/c0.json"
wait_for 10 tool replace "$WORK/c0.json" >/dev/null
tool show | grep -q '"version": 0'
tool replace "$WORK/c0.json" >/dev/null
wait_for 10 in_force_at_entries 0
wait_for 10 entries_ready
serve_requests first 200

echo "version 0 outlives the control hosts, and reaches an entry that starts"
for n in 1 2 3; do kill_hard "control-$n"; done
for n in 1 2 3; do start_control_member $n 0; done
kill_hard entry-1
start_segment_entry 1
wait_for 10 tool show >/dev/null
tool show | grep -q '"version": 0'
wait_for 10 in_force_at_entries 0
wait_for 10 entries_ready
serve_requests second 201

echo "version 1 supersedes it; version 0, sent again, changes nothing"
print_configuration 1 >"$WORK/c1.json"
tool replace "$WORK/c1.json" >/dev/null
wait_for 10 in_force_at_entries 1
tool replace "$WORK/c0.json" >/dev/null
tool show | grep -q '"version": 1'
serve_requests third 202
echo passed
