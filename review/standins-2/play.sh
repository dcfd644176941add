#!/bin/sh
# Plays the program of a case: play.sh NAME RECORD. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run.
set -u
RECORD=$2
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
program="$ROOT/target/review-2/$1"
: > "$RECORD" || exit 2
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/dewnode" ]; then
    echo "build first: the deploy file's command, then review/build-2.sh" | tee "$RECORD" >&2
    exit 2
fi
WORK=$(mktemp -d) || exit 2
export ROOT WORK RECORD
# A crowd needs more descriptors than some shells give.
ulimit -n 8192 2>/dev/null || true
# The program ends what it started; past the time, its whole group is killed.
timeout -s KILL 115 "$program"
status=$?
rm -rf "$WORK"
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
