#!/usr/bin/env bash
# disks.sh BUILD -- the disks of five control hosts are full for some seconds,
# one after another, while configurations are replaced.  Each change must be
# acknowledged in time, and each host must write to its disk again afterwards.
# A full disk is a limit on the size of the files that the process writes.

BUILD=$(realpath "$1")
. "$(dirname "$0")/segment_lib.sh"

ACK_MAX_MS=5000 # As the deployments set it.
HOSTS="1 2 3 4 5"

# set_disk_full N -- lets each write of control host N to a file fail.
set_disk_full () { prlimit --pid "${PIDS[control-$1]}" --fsize=1:unlimited; }

# set_disk_empty N -- lets them succeed again.
set_disk_empty () { prlimit --pid "${PIDS[control-$1]}" --fsize=unlimited; }

# cluster N -- prints what control host N knows of the group.
cluster () { curl -sf -m 1 "http://$NET.$1:$API_PORT/v1/cluster"; }

disk_works () { cluster "$1" | grep -q '"disk_works": true'; }
disk_fails () { cluster "$1" | grep -q '"disk_works": false'; }

# replace_for SECONDS -- replaces the configuration again and again.
replace_for () {
  local end=$(($(date +%s%3N) + $1 * 1000)) sent_at took
  while [ "$(date +%s%3N)" -lt $end ]; do
    version=$((version + 1))
    print_configuration $version >"$WORK/c.json"
    sent_at=$(date +%s%3N)
    wait_for 10 tool replace "$WORK/c.json"
    took=$(($(date +%s%3N) - sent_at))
    [ $took -le $most ] || most=$took
  done
}

trap '' XFSZ # Writes beyond the limit fail with EFBIG.
for n in $HOSTS; do start_control_member "$n" 1; done
version=0 most=0
replace_for 1

for seconds in 2 5; do
  for n in $HOSTS; do
    echo "the disk of control-$n is full for $seconds s"
    set_disk_full "$n"
    replace_for 1
    wait_for 5 disk_fails "$n"
    replace_for $((seconds - 1))
    set_disk_empty "$n"
    replace_for 1
    wait_for 5 disk_works "$n"
  done
done
echo "a host is killed and starts again while its disk is full"
set_disk_full 1
replace_for 1
kill_hard control-1
start control-1 prlimit --fsize=1:unlimited \
  "$BUILD/hibiscusspan-control-group" --settings "$WORK/control-1.env"
replace_for 2
wait_for 5 disk_fails 1
set_disk_empty 1
wait_for 5 disk_works 1

echo "$version changes; the slowest was acknowledged after $most ms"
test $most -le $ACK_MAX_MS
tool show | grep -q "\"version\": $version\b"

echo "what was acknowledged survives a kill of all control hosts"
for n in $HOSTS; do kill_hard "control-$n"; done
for n in $HOSTS; do start_control_member "$n" 0; done
wait_for 10 tool show
tool show | grep -q "\"version\": $version\b"
echo passed
