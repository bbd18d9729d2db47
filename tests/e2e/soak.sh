#!/usr/bin/env bash
# soak.sh BUILD [SEED [FAULTS]] -- segment flows under random faults from
# outside: processes of the system are killed, stopped by SIGTERM, frozen and
# told to reload, by a seed; configurations are replaced meanwhile.  Callers
# keep 30 flows open.  At most one control host, one entry and one agent are
# away at a time, which is what the system bears.
#
# While it runs: no control host shows an older configuration than was
# acknowledged before it was asked.  At the end: no request has failed, and no
# flow was answered by two upstreams.

BUILD=$(realpath "$1")
SEED=${2:-1}
FAULTS=${3:-12}
. "$(dirname "$0")/segment_lib.sh"

RANDOM=$SEED
REQUESTS=$((FAULTS * 20)) # On each flow: about as long as the faults last.
acknowledged=5            # Highest version.
next=6

pick () { # pick WORD... -- one of them, into PICKED.
  local words=("$@")
  PICKED=${words[$((RANDOM % ${#words[@]}))]}
}

restart () { # restart KIND N
  case $1 in
    core) start_member "$2" 0 ;;
    front) start_front "$2" ;;
    side) start_side "$2" ;;
  esac
}

check_shown () { # No host shows less than was acknowledged before.
  local floor=$acknowledged n shown
  for n in 1 2 3; do
    shown=$("$BUILD/hibiscusspan" --control "$NET.$n:$API_PORT" show \
      2>/dev/null | sed -n 's/.*"version": \([0-9]*\).*/\1/p')
    if [ -n "$shown" ] && [ "$shown" -lt "$floor" ]; then
      echo "control host $n shows $shown after $floor was acknowledged" >&2
      return 1
    fi
  done
}

replace () { # May be refused for want of a majority: then it is tried again.
  configuration $next >"$WORK/c.json"
  if tool replace "$WORK/c.json" >/dev/null 2>&1; then acknowledged=$next; fi
  next=$((next + 1))
}

fault () {
  local kind n how pid
  pick core front side
  kind=$PICKED
  if [ $kind = front ]; then pick 1 2; else pick 1 2 3; fi
  n=$PICKED
  pick kill stop freeze reload
  how=$PICKED
  pid=${PIDS[$kind-$n]}
  echo "$how $kind-$n"
  case $how in
    kill)
      kill_hard "$kind-$n"
      replace
      restart $kind "$n"
      ;;
    stop)
      stop "$kind-$n"
      restart $kind "$n"
      ;;
    freeze)
      kill -STOP "$pid"
      sleep "0.$((RANDOM % 10))"
      replace
      kill -CONT "$pid"
      ;;
    reload)
      kill -HUP "$pid"
      ;;
  esac
}

begin_segments
start caller "$BUILD/tests/segment_peer" --listen "$NET.200:$SEGMENTS" \
  --entries "$NET.11:$SEGMENTS,$NET.12:$SEGMENTS" --address "$SERVICE" \
  --flows 30 --requests $REQUESTS --pause-ms 80 --seed "$SEED" caller
for _ in $(seq "$FAULTS"); do
  sleep "1.$((RANDOM % 10))"
  fault
  check_shown
done
wait_for 10 tool show >/dev/null
check_shown
wait "${PIDS[caller]}"
unset "PIDS[caller]"
cat "$WORK/caller.out"
grep -q "^answered=$((30 * REQUESTS)) failed=0 .* moved=0 " \
  "$WORK/caller.out"
echo passed
