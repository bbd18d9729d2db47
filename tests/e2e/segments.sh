#!/usr/bin/env bash
# segments.sh BUILD -- segment flows through real processes: three control
# hosts, two entries, three agents.  Callers' packets come by entries drawn at
# random.  While flows are open an entry is killed, an agent is stopped, the
# leader is killed, the configuration is replaced, and everybody gets SIGHUP.
# No request fails, and no flow is answered by two upstreams.

BUILD=$(realpath "$1")
. "$(dirname "$0")/segment_lib.sh"

begin_segments

echo "an older version changes nothing, an invalid one is refused"
configuration 4 >"$WORK/c4.json"
tool replace "$WORK/c4.json" >/dev/null
tool show | grep -q '"version": 5'
sed 's/"alpha"]/"beta"]/' "$WORK/c5.json" >"$WORK/bad.json"
if tool replace "$WORK/bad.json" 2>/dev/null; then exit 1; fi
status=$(curl -s -o /dev/null -w '%{http_code}' -X PUT \
  "http://$NET.2:$API_PORT/v1/configuration" --data "@$WORK/bad.json")
test "$status" = 400

start caller "$BUILD/tests/segment_peer" --listen "$NET.200:$SEGMENTS" \
  --entries "$NET.11:$SEGMENTS,$NET.12:$SEGMENTS" --address "$SERVICE" \
  --flows 30 --requests 160 --pause-ms 60 caller
sleep 1.5

echo "an entry is killed"
kill_hard front-1
start_front 1
sleep 1.5

echo "an agent is stopped beside its upstream, and comes back"
stop side-2
start_side 2
sleep 1.5

echo "the leader is killed, the configuration replaced"
leader=$(tool cluster | sed -n 's/.*control .*\.\([123]\):.*leads.*/\1/p')
kill_hard "core-$leader"
configuration 6 >"$WORK/c6.json"
wait_for 10 tool replace "$WORK/c6.json" >/dev/null
start_member "$leader" 0
sleep 1

echo "SIGHUP, and a bad file of settings"
for n in core-1 core-2 core-3 front-1 front-2 side-1 side-2 side-3; do
  kill -HUP "${PIDS[$n]}"
done
echo nonsense >>"$WORK/front-2.env"
kill -HUP "${PIDS[front-2]}"
sleep 1
alive core-1 core-2 core-3 front-1 front-2 side-1 side-2 side-3
grep -q reload-refused "$WORK/front-2.out"
grep -q '"reloaded"' "$WORK/core-1.out"

wait "${PIDS[caller]}"
unset "PIDS[caller]"
cat "$WORK/caller.out"
grep -q '^answered=4800 failed=0 .* moved=0 ' "$WORK/caller.out"
tool show | grep -q '"version": 6'

echo "what was acknowledged survives the loss of all processes"
for n in 1 2 3; do kill_hard "core-$n"; done
for n in 1 2 3; do start_member $n 0; done
wait_for 10 tool show >/dev/null
tool show | grep -q '"version": 6'

echo "a planned stop"
stop front-1
stop side-1
stop core-1
curl -sf "http://$NET.12:$HEALTH/metrics" \
  | grep -q 'hibiscusspan_entry_report_age_ms_bucket{le="+Inf"}'
echo passed
