#!/usr/bin/env bash
# links.sh BUILD SEED ROUNDS -- links between the processes of a segment system
# that lose datagrams, and for some seconds all that are sent to one process.
# Each process has a proxy at the address that it advertises, and is bound to
# another one.  No flow may be answered by two upstreams, no acknowledged
# configuration may be lost, no process may end, and once the links work again
# no request may fail.

BUILD=$(realpath "$1")
SEED=$2
ROUNDS=$3
. "$(dirname "$0")/segment_lib.sh"

LOSS_PERCENT=5
BLOCK_S=3
BOUND_PORT=7701
NODES="control-1 control-2 control-3 entry-1 entry-2 agent-1 agent-2 agent-3"
RANDOM=$SEED

# address_of NODE -- prints the IP of a node.
address_of () {
  local n=${1#*-}
  case $1 in
    control-*) echo "$NET.$n" ;;
    entry-*) echo "$NET.$((10 + n))" ;;
    agent-*) echo "$NET.$((20 + n))" ;;
  esac
}

# start_proxies LOSS_PERCENT
start_proxies () {
  local node ip
  for node in $NODES; do
    ip=$(address_of "$node")
    start "proxy-$node" "$BUILD/tests/udp_proxy" --listen "$ip:$INNER_PORT" \
      --to "$ip:$BOUND_PORT" --loss-percent "$1" --seed "$((RANDOM + 1))"
  done
}

# write_settings NAME LINE... -- as in segment_lib.sh, with the bound address.
write_settings () {
  local name=$1
  shift
  printf 'HIBISCUSSPAN_%s\n' "NAME=$name" "SEEDS=$SEEDS" \
    "SEED_PORT=$INNER_PORT" "INNER_BIND=$(address_of "$name"):$BOUND_PORT" \
    "$@" >"$WORK/$name.env"
}

# start_caller NAME IP REQUESTS -- starts a caller with 20 flows.
start_caller () {
  start "$1" "$BUILD/tests/segment_peer" --listen "$2:$SEGMENT_PORT" \
    --entries "$NET.11:$SEGMENT_PORT,$NET.12:$SEGMENT_PORT" \
    --address "$SERVICE" --flows 20 --requests "$3" --pause-ms 60 \
    --seed "$SEED" caller
}

# wait_caller NAME -- waits until a caller has ended, and prints its report.
wait_caller () {
  wait "${PIDS[$1]}"
  unset "PIDS[$1]"
  cat "$WORK/$1.out"
}

start_proxies $LOSS_PERCENT
start_segment_system
version=5
for round in $(seq 1 "$ROUNDS"); do
  start_caller "caller-$round" "$NET.200" 500
  for node in $NODES; do
    echo "round $round: nothing reaches $node for $BLOCK_S s"
    kill -USR1 "${PIDS[proxy-$node]}"
    sleep $((BLOCK_S - 1)).$((RANDOM % 10))
    version=$((version + 1))
    print_configuration $version >"$WORK/c.json"
    wait_for 15 tool replace "$WORK/c.json"
    kill -USR2 "${PIDS[proxy-$node]}"
    sleep 1
  done
  wait_caller "caller-$round"
  grep -q ' moved=0 ' "$WORK/caller-$round.out"
done
# shellcheck disable=SC2086
alive $NODES
wait_for 10 tool show
tool show | grep -q "\"version\": $version\b"

echo "the links work again"
for node in $NODES; do kill_hard "proxy-$node"; done
start_proxies 0
sleep 6
wait_for 10 entries_ready
start_caller caller-last "$NET.201" 40
wait_caller caller-last
grep -q '^answered=800 failed=0 .* moved=0 ' "$WORK/caller-last.out"
echo passed
