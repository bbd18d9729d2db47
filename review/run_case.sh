# run_case.sh -- sourced by the run.sh of a case: plays the case once and
# returns its status.  TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
REVIEW_WORK=$(mktemp -d)
export TROUBLE=${TROUBLE:-1} REVIEW_WORK REVIEW_BIN="$root/target"
[ -x "$root/target/review/case-${here##*/}" ] || exit 2
timeout -k 5 115 "$root/target/review/case-${here##*/}" "$here"
status=$?
case $status in 0 | 1) ;; *) status=2 ;; esac
if [ -n "${KEEP:-}" ]; then echo "$REVIEW_WORK" >&2; else rm -rf "$REVIEW_WORK"; fi
exit $status
