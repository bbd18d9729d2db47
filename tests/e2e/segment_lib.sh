# segment_lib.sh -- functions that start a system of segment flows: three
# control hosts, two entries, and three agents with their upstreams.  To be
# sourced after BUILD has been set to the build folder.

. "$(dirname "$0")/lib.sh"

SEGMENT_PORT=8172 INNER_PORT=7700 API_PORT=8166 HEALTH_PORT=8167
HEARTBEAT_PORT=8168 OUTBOUND_PORT=8169 UPSTREAM_PORT=8170
SEEDS=$NET.1:$API_PORT,$NET.2:$API_PORT,$NET.3:$API_PORT
SERVICE=$NET.101:443

# write_settings NAME LINE... -- writes the settings file of a process.
write_settings () {
  local name=$1
  shift
  printf 'HIBISCUSSPAN_%s\n' "NAME=$name" "SEEDS=$SEEDS" \
    "SEED_PORT=$INNER_PORT" "$@" >"$WORK/$name.env"
}

# start_with_settings NAME PROGRAM -- starts PROGRAM with the settings file of
# NAME.
start_with_settings () {
  start "$1" "$BUILD/hibiscusspan-$2" --settings "$WORK/$1.env"
}

# start_control_member N BOOTSTRAP -- starts a control host of the group.
# BOOTSTRAP is 1 when the group is formed, 0 when a member is started again.
start_control_member () {
  mkdir -p "$WORK/data-$1"
  write_settings "control-$1" "DATA=$WORK/data-$1" \
    "INNER=$NET.$1:$INNER_PORT" "API=$NET.$1:$API_PORT" "BOOTSTRAP=$2"
  start_with_settings "control-$1" control-group
}

# start_segment_entry N -- starts an entry.
start_segment_entry () {
  write_settings "entry-$1" "ZONE=a" \
    "SEGMENTS=$NET.$((10 + $1)):$SEGMENT_PORT" \
    "INNER=$NET.$((10 + $1)):$INNER_PORT" \
    "HEALTH=$NET.$((10 + $1)):$HEALTH_PORT" "DRAIN_MAX_MS=2000"
  start_with_settings "entry-$1" segment-entry
}

# start_segment_agent N [ZONE] -- starts the agent of upstream N, in zone a if
# none is given.
start_segment_agent () {
  local ip=$NET.$((20 + $1))
  write_settings "agent-$1" "ZONE=${2:-a}" "SERVICE=alpha" "INNER=$ip:$INNER_PORT" \
    "UPSTREAM=$ip:$UPSTREAM_PORT" "OUTBOUND=$ip:$OUTBOUND_PORT" \
    "HEARTBEATS=$ip:$HEARTBEAT_PORT" "HEALTH=$ip:$HEALTH_PORT" \
    "CALLER_AT=$ip:$SEGMENT_PORT" "HEARTBEAT_MS=$HEARTBEAT_MS"
  start_with_settings "agent-$1" segment-agent
}

STARTED_AT_MS=$(date +%s%3N) # Start time of the upstreams.
HEARTBEAT_MS=300             # Interval of heartbeats that agents expect.
COLD_MS=0                    # Time until they are warm, by each heartbeat.

# send_heartbeat N STATE SEQ -- sends a heartbeat of upstream N to its agent.
send_heartbeat () {
  local ip=$NET.$((20 + $1))
  curl -s -m 1 -o /dev/null -X POST \
    "http://$ip:$HEARTBEAT_PORT/hibiscusspan/instances/i-$1/heartbeat" \
    -d "{\"service\":\"alpha\",\"address\":\"$ip:$UPSTREAM_PORT\",\"zone\":\"a\",
\"version\":\"1\",\"slots\":8,\"state\":\"$2\",\"coldRemainingMs\":$COLD_MS,
\"seq\":$3,\"born\":$STARTED_AT_MS}" || true
}

# send_heartbeats [SEQ] -- sends heartbeats of all upstreams, with numbers above
# SEQ, until it is killed.
send_heartbeats () {
  local seq=${1:-0} n
  while :; do
    seq=$((seq + 1))
    for n in 1 2 3; do send_heartbeat $n ready $seq; done
    sleep 0.2
  done
}

# print_configuration VERSION -- prints a configuration with one route.
print_configuration () {
  cat <<JSON
{"version": $1, "services": ["alpha"],
 "routes": [{"name": "r", "address": "$SERVICE", "work": "idempotent",
   "timeout_ms": 3000, "slo_ms": 500, "priority": 1, "service": "alpha"}]}
JSON
}

# node_ready IP -- whether a node reports that it is ready.
node_ready () {
  curl -sf -m 1 -o /dev/null "http://$1:$HEALTH_PORT/hibiscusspan/ready"
}

entries_ready () { node_ready "$NET.11" && node_ready "$NET.12"; }

# tool COMMAND... -- runs the tool with the first control host that answers.
tool () {
  local n
  for n in 1 2 3; do
    "$BUILD/hibiscusspan" --control "$NET.$n:$API_PORT" "$@" && return 0
  done
  return 1
}

# odd_call METHOD ADDRESS PATH BODY -- prints the status of the response.
odd_call () {
  printf '%s' "$4" | curl -s -L -m 2 -o /dev/null -w '%{http_code}' -X "$1" \
    "http://$2$3" --data-binary @-
}

# alive NAME... -- whether all these processes run.
alive () {
  local n
  for n in "$@"; do kill -0 "${PIDS[$n]}"; done
}

# start_segment_processes -- starts the whole system, without a configuration.
start_segment_processes () {
  local n
  for n in 1 2 3; do start_control_member $n 1; done
  for n in 1 2 3; do
    start "upstream-$n" "$BUILD/tests/segment_peer" \
      --listen "$NET.$((20 + n)):$UPSTREAM_PORT" \
      --outbound "$NET.$((20 + n)):$OUTBOUND_PORT" \
      --name "u$n" --seed "$n" upstream
    start_segment_agent $n
  done
  for n in 1 2; do start_segment_entry $n; done
  start heartbeats send_heartbeats
}

# start_segment_system -- starts the whole system and waits until configuration
# 5 is in force.
start_segment_system () {
  start_segment_processes
  print_configuration 5 >"$WORK/c5.json"
  wait_for 10 tool replace "$WORK/c5.json" >/dev/null
  wait_for 10 entries_ready
}
