#!/usr/bin/env bash
# demo.sh [BUILD] -- sends requests of two services through the whole system.
#
# Starts one control host, three entries and two services with three upstreams
# each on loopback.  Sends 2,000 requests and keeps two streams open through the
# entries, and applies a changed service document meanwhile.  Exits with 0 only
# if each request has one outcome and no packet was misdelivered.

BUILD=$(realpath "${1:-build}")
. "$(dirname "$0")/../tests/e2e/lib.sh"

REGISTRO=$NET.101:5683
ROTA=$NET.102:5684

echo "starting control, 3 entries, 6 upstreams with their agents, and a fabric"
start_control
write_document registro coap "$REGISTRO" 10000 "$WORK/registro.json"
write_document rota-desk coap "$ROTA" 10000 "$WORK/rota-desk.json"
$TOOL apply "$WORK/registro.json"
$TOOL apply "$WORK/rota-desk.json"
for n in 1 2 3; do start_entry $n; done
for n in 1 2 3; do
  start_upstream $n registro coap --work-ms 5
  start_agent $n registro
done
for n in 4 5 6; do
  start_upstream $n rota-desk coap --work-ms 5
  start_agent $n rota-desk
done
wait_for 10 ready 9
start_fabric "$REGISTRO,$ROTA" 3 --seed 7

echo "sending 2,000 requests, with one stream open on each service"
start caller-registro "$BUILD/tests/caller" --target "$REGISTRO" \
  --service registro --requests 1000 --rate 200 --streams 1 --min-ms 6000
start caller-rota "$BUILD/tests/caller" --target "$ROTA" \
  --service rota-desk --requests 1000 --rate 200 --streams 1 --min-ms 6000
sleep 2
sed -i 's/10000/8000/' "$WORK/registro.json"
$TOOL apply "$WORK/registro.json"
wait_for 8 in_force
echo "the changed document is in force on all nodes"

failed=0
for name in registro rota; do
  wait "${PIDS[caller-$name]}" || failed=1
  unset "PIDS[caller-$name]"
  sed 's/^/  /' "$WORK/caller-$name.out"
done
$TOOL status

received=$(sum_metric requests_received 1 2 3 4 5 6)
ran=$(sum_metric requests_ran 1 2 3 4 5 6)
not_run=$(sum_metric requests_not_run 1 2 3 4 5 6)
may_have_run=$(sum_metric requests_may_have_run 1 2 3 4 5 6)
in_progress=$(sum_metric requests_in_progress 1 2 3 4 5 6)
misdelivered=$(($(sum_metric wrong_service_total 1 2 3 4 5 6) +
  $(sum_metric wrong_host_total 1 2 3 4 5 6)))
echo "agents: received $received = ran $ran + not run $not_run" \
  "+ may have run $may_have_run + in progress $in_progress;" \
  "misdelivered $misdelivered"
# 2,000 requests, and one that opened each of the two streams.
[ "$received" -eq $((ran + not_run + may_have_run + in_progress)) ] || failed=1
[ "$received" -eq 2002 ] || failed=1
[ "$misdelivered" -eq 0 ] || failed=1

echo "stopping gracefully"
for name in agent-1 agent-4 entry-1 control; do
  stop $name || failed=1
done
[ $failed -eq 0 ] &&
  echo "demo: every request has one outcome, none was misdelivered"
exit $failed
