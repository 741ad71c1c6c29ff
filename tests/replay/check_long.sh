#!/bin/sh
# Verifies runs of 40,000 random events.  Each seed is the first that revealed
# the fault named beside it.
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

run 2043 6 3  # a guarantee was met late
run 2028 31 6 # a healthy worker was quarantined
run 2163 6 3  # gangs waited too long
run 4019 6 3  # an urgent job waited behind bulk jobs in a gang reservation
run 2193 36 3 # accelerators were held twice in one instant
run 2229 32 3 # the same
run 3002 5 4  # a group on 4 + 2 + 2 in one rack; jobs started too often
[ "$failed" -eq 0 ]
