#!/usr/bin/env bash
# path.sh BUILD -- the whole path with the real programs: both kinds of
# service, a packet for another service, hostile datagrams, an entry killed
# under an open stream, and graceful stops.

BUILD=$(realpath "$1")
. "$(dirname "$0")/lib.sh"

REGISTRO=$NET.101:5683
PLAIN=$NET.102:9999

expect () { # NAME VALUE WANTED
  if [ "$2" != "$3" ]; then
    echo "$1: got $2, wanted $3" >&2
    exit 1
  fi
}

start_control
write_document registro coap "$REGISTRO" 10000 "$WORK/registro.json"
write_document plain udp "$PLAIN" 10000 "$WORK/plain.json"
$TOOL check "$WORK/registro.json"
$TOOL apply "$WORK/registro.json"
$TOOL apply "$WORK/plain.json"
for n in 1 2 3; do start_entry $n; done
start_upstream 1 registro coap --work-ms 20
start_upstream 2 registro coap --work-ms 20
start_upstream 3 plain udp
start_agent 1 registro
start_agent 2 registro
start_agent 3 plain
wait_for 10 ready 6
start_fabric "$REGISTRO,$PLAIN" 3 --seed 3

echo "a refused document changes nothing"
sed 's/coap/tcp/' "$WORK/registro.json" >"$WORK/bad.json"
! $TOOL apply "$WORK/bad.json" 2>"$WORK/bad.out"
grep -q 'line 1: kind: must be "coap" or "udp"$' "$WORK/bad.out"
expect revision "$($TOOL list | awk '$1 == "registro" {print $2}')" 1
status=0
$TOOL --base 0 apply "$WORK/registro.json" >/dev/null || status=$?
expect "exit status of a conflict" $status 2

echo "a udp service works, and the tool can call a coap one"
"$BUILD/tests/caller" --kind udp --target "$PLAIN" --service plain \
  --requests 50 >"$WORK/plain.out"
expect ran "$(row "$WORK/plain.out" ran)" 50
$TOOL call "$REGISTRO" /hello | grep -q 'service=registro id=hello'

echo "an entry is killed and another stopped under an open stream"
start caller "$BUILD/tests/caller" --target "$REGISTRO" --service registro \
  --requests 400 --rate 80 --streams 2 --min-ms 7000
sleep 2
kill_hard entry-1
sleep 1
stop entry-2
wait "${PIDS[caller]}" || { cat "$WORK/caller.out" >&2; exit 1; }
unset "PIDS[caller]"
expect astray "$(row "$WORK/caller.out" astray)" 0
expect "streams that moved" "$(row "$WORK/caller.out" streams_moved)" 0
# An entry that dies may take answers with it: such a request may have run.
ran=$(row "$WORK/caller.out" ran)
not_run=$(row "$WORK/caller.out" not_run)
may_have_run=$(row "$WORK/caller.out" may_have_run)
expect "decided" $((ran + not_run + may_have_run)) 400
runs=$(cat "$WORK"/runs-[12] | grep -c '^r-')
if [ "$runs" -lt "$ran" ] || [ "$runs" -gt $((ran + may_have_run)) ]; then
  echo "upstreams noted $runs runs; ran $ran, may have run $may_have_run" >&2
  exit 1
fi
expect "runs noted twice" "$(cat "$WORK"/runs-[12] | sort | uniq -d | wc -l)" 0

echo "hostile datagrams are counted and dropped"
for target in "$NET.21/7200" "$NET.13/7100" "$NET.13/5683"; do
  for i in $(seq 1 40); do
    head -c $((i * 50)) /dev/urandom >"/dev/udp/$target" 2>/dev/null || true
  done
done
sleep 0.5
[ "$(metric "$NET.21:7201" malformed_total)" -gt 0 ]
[ "$(metric "$NET.13:7101" malformed_total)" -gt 0 ]
$TOOL call "$REGISTRO" /still | grep -q 'service=registro id=still'

echo "a graceful stop cuts off no request in progress"
start_upstream 4 registro coap --work-ms 1500
start_agent 4 registro
start_entry 1
wait_for 10 ready 6
start caller2 "$BUILD/tests/caller" --target "$REGISTRO" --service registro \
  --prefix s --requests 60 --rate 60 --flows 60
sleep 0.7
stop agent-4
wait "${PIDS[caller2]}" || { cat "$WORK/caller2.out" >&2; exit 1; }
unset "PIDS[caller2]"
expect lost "$(row "$WORK/caller2.out" lost)" 0
expect "may have run" "$(row "$WORK/caller2.out" may_have_run)" 0
for name in agent-1 agent-2 agent-3 entry-1 entry-3 control; do stop $name; done

echo "control comes back with what it had accepted"
start_control
expect revision "$($TOOL list | awk '$1 == "registro" {print $2}')" 1
echo passed
