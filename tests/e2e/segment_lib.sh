# segment_lib.sh -- starts three control hosts, two entries and three agents of
# segment flows, with upstreams.  Sourced after BUILD has been set.

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

begin_segments () { # The whole system, with configuration 5 in force.
  local n
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
}
