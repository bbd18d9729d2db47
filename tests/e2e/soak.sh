#!/usr/bin/env bash
# soak.sh BUILD [SEED [FAULTS]] -- tests segment flows under random faults.
# Processes are killed, stopped by SIGTERM, frozen and reloaded by SIGHUP, in
# an order that SEED determines, while configurations are replaced and a caller
# keeps 30 flows open.  At most one control host, one entry and one agent are
# down at a time, which is the limit that the system tolerates.
#
# During the run, no control host may show an older configuration than one
# that was acknowledged before the query.  At the end, no request may have
# failed, and no flow may have been answered by two upstreams.

BUILD=$(realpath "$1")
SEED=${2:-1}
FAULTS=${3:-12}
. "$(dirname "$0")/segment_lib.sh"

RANDOM=$SEED
REQUESTS=$((FAULTS * 20)) # On each flow: takes about as long as the faults.
acknowledged=5            # Highest acknowledged version.
next_version=6

# pick WORD... -- sets PICKED to a random WORD.
pick () {
  local words=("$@")
  PICKED=${words[$((RANDOM % ${#words[@]}))]}
}

# start_node KIND N -- starts a node that was stopped or killed.
start_node () {
  case $1 in
    control) start_control_member "$2" 0 ;;
    entry) start_segment_entry "$2" ;;
    agent) start_segment_agent "$2" ;;
  esac
}

# check_shown_versions -- fails if a control host shows an older configuration
# than one that was acknowledged before the call.
check_shown_versions () {
  local oldest_allowed=$acknowledged n shown
  for n in 1 2 3; do
    shown=$("$BUILD/hibiscusspan" --control "$NET.$n:$API_PORT" show \
      2>/dev/null | sed -n 's/.*"version": \([0-9]*\).*/\1/p')
    if [ -n "$shown" ] && [ "$shown" -lt "$oldest_allowed" ]; then
      echo "control host $n shows version $shown, but version $oldest_allowed" \
        "was acknowledged before" >&2
      return 1
    fi
  done
}

# replace_configuration -- replaces the configuration by the next version.  The
# call fails while there is no majority; the next call then uses a newer
# version.
replace_configuration () {
  print_configuration $next_version >"$WORK/c.json"
  if tool replace "$WORK/c.json" >/dev/null 2>&1; then
    acknowledged=$next_version
  fi
  next_version=$((next_version + 1))
}

# inject_fault -- injects a random fault and prints it.
inject_fault () {
  local kind n how pid
  pick control entry agent
  kind=$PICKED
  if [ $kind = entry ]; then pick 1 2; else pick 1 2 3; fi
  n=$PICKED
  pick kill stop freeze reload
  how=$PICKED
  pid=${PIDS[$kind-$n]}
  echo "$how $kind-$n"
  case $how in
    kill)
      kill_hard "$kind-$n"
      replace_configuration
      start_node $kind "$n"
      ;;
    stop)
      stop "$kind-$n"
      start_node $kind "$n"
      ;;
    freeze)
      kill -STOP "$pid"
      sleep "0.$((RANDOM % 10))"
      replace_configuration
      kill -CONT "$pid"
      ;;
    reload)
      kill -HUP "$pid"
      ;;
  esac
}

start_segment_system
start caller "$BUILD/tests/segment_peer" --listen "$NET.200:$SEGMENT_PORT" \
  --entries "$NET.11:$SEGMENT_PORT,$NET.12:$SEGMENT_PORT" --address "$SERVICE" \
  --flows 30 --requests $REQUESTS --pause-ms 80 --seed "$SEED" caller
for _ in $(seq "$FAULTS"); do
  sleep "1.$((RANDOM % 10))"
  inject_fault
  check_shown_versions
done
wait_for 10 tool show >/dev/null
check_shown_versions
wait "${PIDS[caller]}"
unset "PIDS[caller]"
cat "$WORK/caller.out"
grep -q "^answered=$((30 * REQUESTS)) failed=0 .* moved=0 " \
  "$WORK/caller.out"
echo passed
