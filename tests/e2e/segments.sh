#!/usr/bin/env bash
# segments.sh BUILD -- tests segment flows through three control hosts, two
# entries and three agents.  Each packet of a caller is sent to a random entry.
# While flows are open, an entry is killed, an agent is stopped, the leader is
# killed, the configuration is replaced, and every process gets SIGHUP.  No
# request may fail, and no flow may be answered by two upstreams.

BUILD=$(realpath "$1")
. "$(dirname "$0")/segment_lib.sh"

start_segment_system

echo "an older configuration changes nothing, an invalid one is refused"
print_configuration 4 >"$WORK/c4.json"
tool replace "$WORK/c4.json" >/dev/null
tool show | grep -q '"version": 5'
sed 's/"alpha"]/"beta"]/' "$WORK/c5.json" >"$WORK/bad.json"
if tool replace "$WORK/bad.json" 2>/dev/null; then exit 1; fi
status=$(curl -s -o /dev/null -w '%{http_code}' -X PUT \
  "http://$NET.2:$API_PORT/v1/configuration" --data "@$WORK/bad.json")
test "$status" = 400

echo "odd heartbeats and configurations are refused, and end no process"
nested=$(printf '[%.0s' {1..50000})
for odd in "\"slots\":4294967296" "\"slots\":1e400" "\"seq\":9e18" \
  "\"seq\":9223372036854775807" "\"born\":9223372036854775807" \
  "\"address\":\"$NET.21:65536\"" "\"address\":\"$NET.21:-1\"" \
  "\"x\":$nested" "\"x\":\"$(printf '\xff')\""; do
  test "$(odd_call POST "$NET.21:$HEARTBEAT_PORT" \
    /hibiscusspan/instances/i-1/heartbeat \
    "{\"service\":\"alpha\",\"address\":\"$NET.21:$UPSTREAM_PORT\",
\"zone\":\"a\",\"version\":\"1\",\"slots\":8,\"state\":\"draining\",\"coldRemainingMs\":0,\"seq\":99999,
\"born\":$STARTED_AT_MS,$odd}")" = 400
  test "$(odd_call PUT "$NET.1:$API_PORT" /v1/configuration \
    "{\"version\":5,$odd,\"routes\":$nested}")" = 400
done
alive agent-1 control-1
entries_ready

start caller "$BUILD/tests/segment_peer" --listen "$NET.200:$SEGMENT_PORT" \
  --entries "$NET.11:$SEGMENT_PORT,$NET.12:$SEGMENT_PORT" --address "$SERVICE" \
  --flows 30 --requests 160 --pause-ms 60 caller
sleep 1.5

echo "an entry is killed"
kill_hard entry-1
start_segment_entry 1
sleep 1.5

echo "an agent is stopped while its upstream runs, and started again"
stop agent-2
start_segment_agent 2
sleep 1.5

echo "the leader is killed, and the configuration is replaced"
leader=$(tool cluster | sed -n 's/.*control .*\.\([123]\):.*leads.*/\1/p')
kill_hard "control-$leader"
print_configuration 6 >"$WORK/c6.json"
wait_for 10 tool replace "$WORK/c6.json" >/dev/null
start_control_member "$leader" 0
sleep 1

echo "every process reloads its settings; an invalid file is refused"
for n in control-1 control-2 control-3 entry-1 entry-2 agent-1 agent-2 agent-3; do
  kill -HUP "${PIDS[$n]}"
done
echo nonsense >>"$WORK/entry-2.env"
kill -HUP "${PIDS[entry-2]}"
sleep 1
alive control-1 control-2 control-3 entry-1 entry-2 agent-1 agent-2 agent-3
grep -q reload-refused "$WORK/entry-2.out"
grep -q '"reloaded"' "$WORK/control-1.out"

wait "${PIDS[caller]}"
unset "PIDS[caller]"
cat "$WORK/caller.out"
grep -q '^answered=4800 failed=0 .* moved=0 ' "$WORK/caller.out"
tool show | grep -q '"version": 6'

echo "an acknowledged configuration survives a kill of all control hosts"
for n in 1 2 3; do kill_hard "control-$n"; done
for n in 1 2 3; do start_control_member $n 0; done
wait_for 10 tool show >/dev/null
tool show | grep -q '"version": 6'

echo "an entry, an agent and a control host are stopped"
stop entry-1
stop agent-1
stop control-1
curl -sf "http://$NET.12:$HEALTH_PORT/metrics" \
  | grep -q 'hibiscusspan_entry_report_age_ms_bucket{le="+Inf"}'
echo passed
