#!/usr/bin/env bash
# zones.sh BUILD -- evacuates an availability zone of a running system.
# Guards against flows that are opened there after the order is in force, open
# flows that are moved, and orders that are lost: the leader and then all
# control hosts are killed, and an agent and an entry are started again.

BUILD=$(realpath "$1")
. "$(dirname "$0")/segment_lib.sh"

# order METHOD PATH -- prints the status of an order's response, from any
# control host.
order () {
  local n status
  for n in 1 2 3; do
    status=$(curl -s -L -m 2 -o /dev/null -w '%{http_code}' -X "$1" \
      "http://$NET.$n:$API_PORT$2") || true
    case $status in 2* | 4*) break ;; esac
  done
  echo "$status"
}

evacuations () {
  local n
  for n in 1 2 3; do
    curl -sfL -m 2 "http://$NET.$n:$API_PORT/v1/evacuations" && return 0
  done
  return 1
}

in_force_everywhere () { evacuations | tr -d '\n ' | grep -q '"behind":\[\]'; }

# opened N -- prints the number of SYNs that agent N gave to its upstream.
opened () {
  curl -sf "http://$NET.$((20 + $1)):$HEALTH_PORT/metrics" \
    | sed -n 's/^hibiscusspan_agent_flows_opened_total //p'
}

# start_caller NAME FLOWS REQUESTS HOST -- starts a caller at the address HOST.
start_caller () {
  start "$1" "$BUILD/tests/segment_peer" --listen "$NET.$4:$SEGMENT_PORT" \
    --entries "$NET.11:$SEGMENT_PORT,$NET.12:$SEGMENT_PORT" \
    --address "$SERVICE" --flows "$2" --requests "$3" --pause-ms 60 caller
}

# finish_caller NAME REQUESTS -- waits for a caller, all of whose requests must
# have been answered by the upstreams that their flows were opened at.
finish_caller () {
  wait "${PIDS[$1]}"
  unset "PIDS[$1]"
  cat "$WORK/$1.out"
  grep -q "^answered=$2 failed=0 .* moved=0 " "$WORK/$1.out"
}

start_segment_system
stop agent-2
start_segment_agent 2 b
stop agent-3
start_segment_agent 3 b
sleep 1

start_caller before 30 100 200
sleep 1
echo "a zone is evacuated; bad orders are refused"
test "$(order PUT /v1/evacuations/a)" = 200
test "$(order PUT '/v1/evacuations/b?revision=1')" = 409
test "$(order PUT '/v1/evacuations/b?revision=x')" = 400
test "$(order PUT '/v1/evacuations/b%20c')" = 400
test "$(order POST /hibiscusspan/evacuations/a/start)" = 200
wait_for 5 in_force_everywhere
evacuations | grep -q '"a"'

opened_then=$(opened 1)
start_caller during 30 60 201
finish_caller before 3000
finish_caller during 1800
test "$(opened 1)" = "$opened_then"

echo "the leader is killed, then all control hosts; an agent, an entry start"
leader=$(tool cluster | sed -n 's/.*control .*\.\([123]\):.*leads.*/\1/p')
kill_hard "control-$leader"
wait_for 10 in_force_everywhere
for n in 1 2 3; do [ "$n" = "$leader" ] || kill_hard "control-$n"; done
for n in 1 2 3; do start_control_member $n 0; done
kill_hard agent-1
start_segment_agent 1
kill_hard entry-1
start_segment_entry 1
wait_for 10 in_force_everywhere
wait_for 10 entries_ready
evacuations | grep -q '"a"'
start_caller later 30 20 202
finish_caller later 600
test "$(opened 1)" = 0

echo "all zones are evacuated: requests are refused, as none can be served"
test "$(order POST /hibiscusspan/evacuations/b/start)" = 200
wait_for 5 in_force_everywhere
start_caller refused 3 1 203
wait "${PIDS[refused]}" || true
unset "PIDS[refused]"
cat "$WORK/refused.out"
grep -q '^answered=0 failed=3 ' "$WORK/refused.out"

echo "the evacuations end"
test "$(order POST /hibiscusspan/evacuations/b/finish)" = 200
tool evacuate list | tee "$WORK/list.out"
grep -q '^evacuated a$' "$WORK/list.out"
tool evacuate finish a | tee "$WORK/finish.out"
grep -q 'in force' "$WORK/finish.out"
sleep 1
start_caller after 30 20 204
finish_caller after 600
test "$(opened 1)" -gt 0
echo passed
