#!/bin/sh
# Runs of 40,000 random events, each of a seed that broke a promise first seen
# there, judged from outside.
set -u
cd "$(dirname "$0")/../.."
replay=${BIN:-bin}/skr-replay
verify=${BUILD:-build}/tests/replay/verify
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

run ()
{
  "$replay" --random --seed "$1" --events 40000 --workers "$2" \
    --accounts "$3" --emit "$dir/t" > "$dir/a" \
    && "$verify" --no-refusals "$dir/t" "$dir/a" && return
  printf 'FAIL seed %s, %s workers, %s accounts\n' "$1" "$2" "$3"
  failed=$((failed + 1))
}

run 2043 6 3  # a late guarantee
run 2028 31 6 # a healthy worker quarantined
run 2163 6 3  # gangs that wait
run 4019 6 3  # an urgent job behind bulk in room kept for a gang
run 2193 36 3 # accelerators held twice in one moment
run 2229 32 3 # the same
run 3002 5 4  # a group over 4 + 2 + 2 in one rack; jobs started too often
[ "$failed" -eq 0 ]
