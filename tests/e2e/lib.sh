# lib.sh -- functions that start and stop the programs on loopback addresses,
# for the demo, the end-to-end tests and bench/node.sh.  Source it after
# BUILD has been set to the build folder.
#
# Each run picks a random /24 of 127.0.0.0/8: control hosts have .1 to .5,
# entries .11 and up, agents and their upstreams .21 and up, services .101 and
# up.  .200 is the source address of the fabric or of the caller.

set -eu

WORK=$(mktemp -d)
NET=127.$((20 + $$ % 40)).$((RANDOM % 250 + 1))
declare -A PIDS=()
API=$NET.1:7000
LINK=$NET.1:7001
TOOL="$BUILD/hibiscusspan --control $API"

# start NAME PROGRAM ARG... -- runs PROGRAM in the background; its output goes
# to $WORK/NAME.out and $WORK/NAME.log.
start () {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>>"$WORK/$name.log" &
  PIDS[$name]=$!
}

# stop NAME -- sends SIGTERM, waits, and returns the exit status.
stop () {
  local pid=${PIDS[$1]}
  unset "PIDS[$1]"
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid"
}

# stop_for_restart NAME -- sends SIGHUP, on which an agent ends for a planned
# restart, waits, and returns the exit status.
stop_for_restart () {
  local pid=${PIDS[$1]}
  unset "PIDS[$1]"
  kill -HUP "$pid" 2>/dev/null || true
  wait "$pid"
}

# kill_hard NAME -- sends SIGKILL and waits.
kill_hard () {
  local pid=${PIDS[$1]}
  unset "PIDS[$1]"
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
}

# stop_all -- kills all processes that are left.
stop_all () {
  local name
  for name in "${!PIDS[@]}"; do
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# finish -- runs on exit.  After a failure, keeps the logs and the metrics of
# the agents.
finish () {
  local status=$? n
  if [ $status -ne 0 ]; then
    for n in 21 22 23 24 25 26; do
      curl -sf "http://$NET.$n:7201/metrics" >"$WORK/metrics-$n" || true
    done
  fi
  stop_all
  if [ $status -ne 0 ]; then
    echo "logs are in $WORK" >&2
    tail -n 5 "$WORK"/*.log >&2 || true
  else
    rm -rf "$WORK"
  fi
  exit $status
}
trap finish EXIT

# wait_for SECONDS COMMAND... -- repeats COMMAND until it succeeds; fails after
# SECONDS.
wait_for () {
  local tries=$(($1 * 10))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ $tries -le 0 ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# healthy ADDRESS -- whether /healthz of a node answers with success.
healthy () { curl -sf "http://$1/healthz"; }

# start_control -- starts a single control host and waits until it is healthy.
start_control () {
  mkdir -p "$WORK/control"
  start control "$BUILD/hibiscusspan-control" --name control-1 \
    --data "$WORK/control" --link "$LINK" --api "$API"
  wait_for 10 healthy "$API"
}

# start_entry N -- starts an entry.
start_entry () {
  start "entry-$1" "$BUILD/hibiscusspan-entry" --name "entry-$1" --zone zone-a \
    --inner "$NET.$((10 + $1)):7100" --control "$LINK" \
    --admin "$NET.$((10 + $1)):7101" --bind "$NET.$((10 + $1)):0" \
    --drain-max-ms 5000
}

# start_upstream N SERVICE KIND [ARG...] -- starts an upstream without its
# agent.
start_upstream () {
  local n=$1 service=$2 kind=$3
  shift 3
  start "upstream-$n" "$BUILD/tests/upstream" --listen "$NET.$((20 + n)):9000" \
    --service "$service" --name "upstream-$n" --kind "$kind" \
    --runs "$WORK/runs-$n" "$@"
}

# start_agent N SERVICE -- starts the agent of upstream N.
start_agent () {
  start "agent-$1" "$BUILD/hibiscusspan-agent" --name "agent-$1" \
    --zone zone-a --service "$2" --inner "$NET.$((20 + $1)):7200" \
    --upstream "$NET.$((20 + $1)):9000" --control "$LINK" \
    --admin "$NET.$((20 + $1)):7201"
}

# start_fabric SERVICE_ADDRESS,... ENTRIES [ARG...] -- starts the fabric, which
# forwards to the entries 1 to ENTRIES.
start_fabric () {
  local services=$1 entries="" i
  for i in $(seq 1 "$2"); do
    entries="$entries${entries:+,}$NET.$((10 + i)):0"
  done
  shift 2
  start fabric "$BUILD/tests/fabric" --services "$services" \
    --entries "$entries" --local "$NET.200:0" "$@"
}

# write_document NAME KIND ADDRESS DEADLINE_MS FILE -- writes a service
# document to FILE.
write_document () {
  local requests=""
  if [ "$2" = coap ]; then
    requests=', "requests": [
  {"method": "POST", "path": "/confirm", "idempotent": false}]'
  fi
  cat >"$5" <<EOF
{"service": "$1", "kind": "$2", "address": "$3",
 "grace_s": 5, "deadline_ms": $4$requests}
EOF
}

# in_force -- whether the newest version is in force on every node.
in_force () {
  $TOOL --json status >"$WORK/status.json"
  ! grep -E '"(version|version_in_force)":' "$WORK/status.json" |
    sed -n 's/.*"version_in_force": \([0-9]*\).*/\1/p' |
    grep -qv "^$(sed -n 's/^  "version": \([0-9]*\).*/\1/p' \
      "$WORK/status.json")$"
}

# ready N -- whether N nodes are ready and the newest version is in force on
# all.
ready () {
  in_force &&
    [ "$(grep -c '"state": "ready"' "$WORK/status.json")" -eq "$1" ]
}

# metric ADDRESS NAME -- prints the value of a metric of a node.
metric () {
  curl -sf "http://$1/metrics" |
    sed -nE "s/^hibiscusspan_(entry|agent|control)_$2 //p"
}

# sum_metric NAME N... -- prints the sum of a metric over agents.
sum_metric () {
  local name=$1 total=0 n
  shift
  for n in "$@"; do
    total=$((total + $(metric "$NET.$((20 + n)):7201" "$name")))
  done
  echo $total
}

# report_value FILE NAME -- prints a value of a caller's report.
report_value () { sed -n "s/^$2 //p" "$1"; }
