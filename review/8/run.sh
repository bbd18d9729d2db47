#!/bin/sh
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.  TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
case=$(basename "$here")
cd "$here/../.." || exit 2
[ -x "target/review-2/$case" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"target/review-2/$case" "$folder" "$here/record.txt"
result=$?
[ $result -le 2 ] || result=2
exit $result
