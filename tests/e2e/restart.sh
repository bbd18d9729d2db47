#!/usr/bin/env bash
# restart.sh BUILD -- agents restart while streams are open: one ends for a
# planned restart, one is killed.  Every stream must go on, and its upstream
# must see the same peer address as before.

BUILD=$(realpath "$1")
. "$(dirname "$0")/lib.sh"

REGISTRO=$NET.101:5683

start_control
write_document registro coap "$REGISTRO" 5000 "$WORK/registro.json"
$TOOL apply "$WORK/registro.json"
for n in 1 2; do start_entry $n; done
for n in 1 2 3; do
  start_upstream $n registro coap
  start_agent $n registro
done
wait_for 10 ready 5
start_fabric "$REGISTRO" 2 --seed 5
sleep 1
start caller "$BUILD/tests/caller" --target "$REGISTRO" --service registro \
  --requests 600 --rate 40 --flows 30 --streams 12 --min-ms 16000 \
  --post-percent 0
sleep 3

echo "an agent is restarted as planned"
stop_for_restart agent-1
start_agent 1 registro
wait_for 10 ready 5
sleep 3

echo "an agent is killed and started again"
kill_hard agent-2
start_agent 2 registro
wait_for 10 ready 5

wait "${PIDS[caller]}" || { cat "$WORK/caller.out" >&2; exit 1; }
unset "PIDS[caller]"
for name in astray lost streams_broken streams_moved; do
  if [ "$(report_value "$WORK/caller.out" $name)" != 0 ]; then
    cat "$WORK/caller.out" >&2
    exit 1
  fi
done
recovered=$(sum_metric flows_adopted_total 1 2)
echo "flows recovered: $recovered;" \
  "longest time between notifications of a stream:" \
  "$(report_value "$WORK/caller.out" stream_silence_max_ms) ms"
[ "$recovered" -gt 0 ]
echo passed
