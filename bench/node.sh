#!/usr/bin/env bash
# node.sh [BUILD] -- measures what nodes cost when idle and on a change, and
# prints lines of the form "NAME VALUE UNIT".
#
# Starts one control host, one entry and two agents of one service.  Measures
# CPU time, memory and control traffic over 20 s without load, then the traffic
# between agents for new flows, then the time and the traffic that it takes
# until changes of the service document are in force on all nodes.  BUILD is
# the build folder, by default build.

BUILD=$(realpath "${1:-build}")
. "$(dirname "$0")/../tests/e2e/lib.sh" >/dev/null

SECONDS_IDLE=20
CHANGES=10

# User and system CPU time of a node, in clock ticks.
cpu_ticks () { awk '{print $14 + $15}' "/proc/${PIDS[$1]}/stat"; }
rss_kb () { awk '/VmRSS/ {print $2}' "/proc/${PIDS[$1]}/status"; }

start_control
write_document registro coap "$NET.101:5683" 10000 "$WORK/registro.json"
$TOOL apply "$WORK/registro.json" >/dev/null
start_entry 1
start_agent 1 registro
start_agent 2 registro
wait_for 10 ready 3

declare -A ticks_before
for name in control entry-1 agent-1; do
  ticks_before[$name]=$(cpu_ticks $name)
done
entry_bytes_before=$(($(metric "$NET.11:7101" link_sent_bytes_total) +
  $(metric "$NET.11:7101" link_received_bytes_total)))
agent_bytes_before=$(($(metric "$NET.21:7201" link_sent_bytes_total) +
  $(metric "$NET.21:7201" link_received_bytes_total)))
sleep $SECONDS_IDLE
ticks_per_s=$(getconf CLK_TCK)
for name in control entry-1 agent-1; do
  awk -v n="${name%-1}" -v t=$(($(cpu_ticks $name) - ${ticks_before[$name]})) \
    -v s=$SECONDS_IDLE -v hz="$ticks_per_s" \
    'BEGIN { printf "%s_idle_cpu_percent %.3f percent\n", n, 100 * t / hz / s }'
  echo "${name%-1}_rss_kb $(rss_kb $name) kB"
done
bytes_now=$(($(metric "$NET.11:7101" link_sent_bytes_total) +
  $(metric "$NET.11:7101" link_received_bytes_total)))
rate=$(((bytes_now - entry_bytes_before) / SECONDS_IDLE))
echo "entry_idle_bytes $rate bytes/s"
bytes_now=$(($(metric "$NET.21:7201" link_sent_bytes_total) +
  $(metric "$NET.21:7201" link_received_bytes_total)))
rate=$(((bytes_now - agent_bytes_before) / SECONDS_IDLE))
echo "agent_idle_bytes $rate bytes/s"

# 16 new flows per second on two agents: 8 for each, the average that the
# system is designed for.
start_upstream 1 registro coap
start_upstream 2 registro coap
start_fabric "$NET.101:5683" 1
sleep 1
flow_bytes_before=$(metric "$NET.21:7201" flow_message_bytes_total)
"$BUILD/tests/caller" --target "$NET.101:5683" --service registro \
  --requests 320 --rate 16 --flows 320 --post-percent 0 >"$WORK/caller.out"
bytes_now=$(metric "$NET.21:7201" flow_message_bytes_total)
echo "new_flows_bytes_agent $(((bytes_now - flow_bytes_before) / 20)) bytes/s"

entry_bytes_before=$(metric "$NET.11:7101" link_received_bytes_total)
total_ms=0
for i in $(seq 1 $CHANGES); do
  sed -i "s/\"deadline_ms\": [0-9]*/\"deadline_ms\": $((5000 + i))/" \
    "$WORK/registro.json"
  start_ms=$(date +%s%3N)
  $TOOL apply "$WORK/registro.json" >/dev/null
  wait_for 8 in_force
  total_ms=$((total_ms + $(date +%s%3N) - start_ms))
done
bytes_now=$(metric "$NET.11:7101" link_received_bytes_total)
echo "change_bytes_entry $(((bytes_now - entry_bytes_before) / CHANGES)) bytes"
echo "change_in_force_ms $((total_ms / CHANGES)) ms"
