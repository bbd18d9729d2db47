#!/usr/bin/env bash
# path.sh BUILD -- tests the whole path from caller to upstream for services of
# kind coap and udp: invalid documents, an entry that is killed while a stream
# is open, malformed datagrams, graceful stops, and a restart of control.

BUILD=$(realpath "$1")
. "$(dirname "$0")/lib.sh"

REGISTRO=$NET.101:5683
PLAIN=$NET.102:9999

expect () { # expect NAME VALUE EXPECTED
  if [ "$2" != "$3" ]; then
    echo "$1: got $2, expected $3" >&2
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

echo "an invalid document is refused and changes nothing"
sed 's/coap/tcp/' "$WORK/registro.json" >"$WORK/bad.json"
! $TOOL apply "$WORK/bad.json" 2>"$WORK/bad.out"
grep -q 'line 1: kind: must be "coap" or "udp"$' "$WORK/bad.out"
expect revision "$($TOOL list | awk '$1 == "registro" {print $2}')" 1
status=0
$TOOL --base 0 apply "$WORK/registro.json" >/dev/null || status=$?
expect "exit status of a conflict" $status 2

echo "a udp service answers, and the tool calls a coap service"
"$BUILD/tests/caller" --kind udp --target "$PLAIN" --service plain \
  --requests 50 >"$WORK/plain.out"
expect ran "$(report_value "$WORK/plain.out" ran)" 50
$TOOL call "$REGISTRO" /hello | grep -q 'service=registro id=hello'

echo "an entry is killed and another is stopped while streams are open"
start caller "$BUILD/tests/caller" --target "$REGISTRO" --service registro \
  --requests 400 --rate 80 --streams 2 --min-ms 7000
sleep 2
kill_hard entry-1
sleep 1
stop entry-2
wait "${PIDS[caller]}" || { cat "$WORK/caller.out" >&2; exit 1; }
unset "PIDS[caller]"
expect astray "$(report_value "$WORK/caller.out" astray)" 0
expect "streams that moved" "$(report_value "$WORK/caller.out" streams_moved)" 0
# Responses that pass through an entry when it is killed are lost: the outcome
# of such a request is "may have run".
ran=$(report_value "$WORK/caller.out" ran)
not_run=$(report_value "$WORK/caller.out" not_run)
may_have_run=$(report_value "$WORK/caller.out" may_have_run)
expect "requests with an outcome" $((ran + not_run + may_have_run)) 400
runs=$(cat "$WORK"/runs-[12] | grep -c '^r-')
if [ "$runs" -lt "$ran" ] || [ "$runs" -gt $((ran + may_have_run)) ]; then
  echo "upstreams ran $runs requests; callers counted $ran that ran and" \
    "$may_have_run that may have run" >&2
  exit 1
fi
expect "requests that ran twice" \
  "$(cat "$WORK"/runs-[12] | sort | uniq -d | wc -l)" 0

echo "malformed datagrams are counted and dropped"
for target in "$NET.21/7200" "$NET.13/7100" "$NET.13/5683"; do
  for i in $(seq 1 40); do
    head -c $((i * 50)) /dev/urandom >"/dev/udp/$target" 2>/dev/null || true
  done
done
sleep 0.5
[ "$(metric "$NET.21:7201" malformed_total)" -gt 0 ]
[ "$(metric "$NET.13:7101" malformed_total)" -gt 0 ]
$TOOL call "$REGISTRO" /still | grep -q 'service=registro id=still'

echo "a graceful stop of an agent completes its requests in progress"
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
expect lost "$(report_value "$WORK/caller2.out" lost)" 0
expect "may have run" "$(report_value "$WORK/caller2.out" may_have_run)" 0
for name in agent-1 agent-2 agent-3 entry-1 entry-3 control; do stop $name; done

echo "control keeps accepted documents over a restart"
start_control
expect revision "$($TOOL list | awk '$1 == "registro" {print $2}')" 1
echo passed
