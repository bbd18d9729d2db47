#!/usr/bin/env bash
# cold.sh BUILD -- tests that cold upstreams get no more new flows than the
# configuration allows, from two entries, and as many as come once they are
# warm.  It guards against a rate that is lost on its way from the
# configuration through the entries to the agents.

BUILD=$(realpath "$1")
. "$(dirname "$0")/segment_lib.sh"

RATE=5 # New flows a second at each of the three upstreams.

# metric IP NAME -- prints a counter or gauge of a node.
metric () {
  curl -sf -m 2 "http://$1:$HEALTH_PORT/metrics" \
    | sed -n "s/^hibiscusspan_[a-z]*_$2 //p"
}

in_force () { test "$(metric "$1" configuration_version)" = "$2"; }
is_cold () { test "$(metric "$NET.$((20 + $1))" cold)" = "$2"; }

# open_flows COUNT SEED -- opens flows at once, with one request each.  With the
# same seed, the SYNs would be copies of those of an earlier call.
open_flows () {
  "$BUILD/tests/segment_peer" --listen "$NET.200:$SEGMENT_PORT" \
    --entries "$NET.11:$SEGMENT_PORT,$NET.12:$SEGMENT_PORT" \
    --address "$SERVICE" --flows "$1" --seed "$2" --requests 1 \
    caller
}

# On a busy machine the heartbeats of send_heartbeats are more than a second
# apart.
HEARTBEAT_MS=2000
COLD_MS=60000
start_segment_system
print_configuration 6 \
  | sed "s/\"alpha\"\]/{\"name\": \"alpha\", \"cold_flows_per_s\": $RATE}]/" \
  >"$WORK/c6.json"
wait_for 10 tool replace "$WORK/c6.json"
for n in 11 12; do wait_for 10 in_force "$NET.$n" 6; done
for n in 1 2 3; do wait_for 10 is_cold $n 1; done
sleep 1.1 # An agent that started after its upstream admits nothing until then.

echo "cold upstreams get a limited number of flows"
begin=$(date +%s%3N)
open_flows 40 1 >"$WORK/cold.out"
windows=$((($(date +%s%3N) - begin) / 1050 + 1))
cat "$WORK/cold.out"
answered=$(sed -n 's/^answered=\([0-9]*\) .*/\1/p' "$WORK/cold.out")
test "$answered" -ge $RATE
test "$answered" -le $((windows * 3 * RATE))
refused=0
for n in 1 2 3; do
  refused=$((refused + $(metric "$NET.2$n" syns_refused_warming_up_total)))
done
echo "refused at agents: $refused"
test $refused -gt 0
grep -q '"flow-refused".*"warming-up"' "$WORK"/entry-?.out

echo "warm upstreams get all flows"
kill_hard heartbeats
COLD_MS=0
start heartbeats send_heartbeats 100000
for n in 1 2 3; do wait_for 10 is_cold $n 0; done
sleep 0.5 # For the entries to get new load reports.
open_flows 20 2 >"$WORK/warm.out"
cat "$WORK/warm.out"
grep -q '^answered=20 failed=0 ' "$WORK/warm.out"
echo passed
