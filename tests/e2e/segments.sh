#!/usr/bin/env bash
# segments.sh BUILD -- segment flows through real processes: three control
# hosts, two entries, three agents.  Callers' packets come by entries drawn at
# random.  While flows are open an entry is killed, an agent is stopped, the
# leader is killed, the configuration is replaced, and everybody gets SIGHUP.
# No request fails, and no flow is answered by two upstreams.

BUILD=$(realpath "$1")
. "$(dirname "$0")/lib.sh"

SEGMENTS=8172 INNER=7700 API_PORT=8166 HEALTH=8167 HEARTBEATS=8168
OUTBOUND=8169 APP=8170
SEEDS=$NET.1:$API_PORT,$NET.2:$API_PORT,$NET.3:$API_PORT
SERVICE=$NET.101:443

settings () { # settings NAME LINE... -- writes the file of a process.
  local name=$1
  shift
  printf 'HIBISCUSSPAN_%s\n' "NAME=$name" "SEEDS=$SEEDS" \
    "SEED_PORT=$INNER" "$@" >"$WORK/$name.env"
}

run () { # run NAME PROGRAM
  start "$1" "$BUILD/hibiscusspan-$2" --settings "$WORK/$1.env"
}

start_member () { # start_member N BOOTSTRAP
  mkdir -p "$WORK/data-$1"
  settings "core-$1" "DATA=$WORK/data-$1" "INNER=$NET.$1:$INNER" \
    "API=$NET.$1:$API_PORT" "BOOTSTRAP=$2"
  run "core-$1" control-group
}

start_front () { # start_front N
  settings "front-$1" "ZONE=a" "SEGMENTS=$NET.$((10 + $1)):$SEGMENTS" \
    "INNER=$NET.$((10 + $1)):$INNER" "HEALTH=$NET.$((10 + $1)):$HEALTH" \
    "DRAIN_MAX_MS=2000"
  run "front-$1" segment-entry
}

start_side () { # start_side N
  local ip=$NET.$((20 + $1))
  settings "side-$1" "ZONE=a" "SERVICE=alpha" "INNER=$ip:$INNER" \
    "UPSTREAM=$ip:$APP" "OUTBOUND=$ip:$OUTBOUND" \
    "HEARTBEATS=$ip:$HEARTBEATS" "HEALTH=$ip:$HEALTH" \
    "CALLER_AT=$ip:$SEGMENTS" "HEARTBEAT_MS=300"
  run "side-$1" segment-agent
}

BORN=$(date +%s%3N)
beat () { # beat N STATE SEQ
  local ip=$NET.$((20 + $1))
  curl -s -m 1 -o /dev/null -X POST \
    "http://$ip:$HEARTBEATS/hibiscusspan/instances/i-$1/heartbeat" \
    -d "{\"service\":\"alpha\",\"address\":\"$ip:$APP\",\"zone\":\"a\",
\"version\":\"1\",\"slots\":8,\"state\":\"$2\",\"coldRemainingMs\":0,
\"seq\":$3,\"born\":$BORN}" || true
}

beat_all () { # In the background, until its end.
  local seq=0 n
  while :; do
    seq=$((seq + 1))
    for n in 1 2 3; do beat $n ready $seq; done
    sleep 0.2
  done
}

configuration () { # configuration VERSION
  cat <<JSON
{"version": $1, "services": ["alpha"],
 "routes": [{"name": "r", "address": "$SERVICE", "work": "idempotent",
   "timeout_ms": 3000, "slo_ms": 500, "priority": 1, "service": "alpha"}]}
JSON
}

ready () { curl -sf -m 1 -o /dev/null "http://$1:$HEALTH/hibiscusspan/ready"; }
fronts_ready () { ready "$NET.11" && ready "$NET.12"; }
tool () { # tool COMMAND... -- at any control host that answers.
  local n
  for n in 1 2 3; do
    "$BUILD/hibiscusspan" --control "$NET.$n:$API_PORT" "$@" && return 0
  done
  return 1
}
alive () { local n; for n in "$@"; do kill -0 "${PIDS[$n]}"; done; }

for n in 1 2 3; do start_member $n 1; done
for n in 1 2 3; do
  start "upstream-$n" "$BUILD/tests/segment_peer" \
    --listen "$NET.$((20 + n)):$APP" \
    --outbound "$NET.$((20 + n)):$OUTBOUND" --name "u$n" --seed "$n" upstream
  start_side $n
done
for n in 1 2; do start_front $n; done
start beats beat_all
configuration 5 >"$WORK/c5.json"
wait_for 10 tool replace "$WORK/c5.json" >/dev/null
wait_for 10 fronts_ready

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
