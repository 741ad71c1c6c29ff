#!/bin/sh
# Checks random runs of fixed seeds for plans that were refused although they
# and all other plans can be packed beside the jobs that are not preemptible.
set -u
cd "$(dirname "$0")/../.."
replay=${BIN:-bin}/skr-replay
verify=${BUILD:-build}/tests/replay/verify
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

run ()
{
  "$replay" --random "$@" --emit "$dir/t" > "$dir/a"
  "$verify" --all "$dir/t" "$dir/a" 2>&1 | grep 'plan was refused' \
    || return 0
  printf 'FAIL skr-replay --random %s\n' "$*"
  failed=$((failed + 1))
}

for seed in 1 2 3 4 5 6 7 8; do
  run --seed "$seed" --events 4000 --faults plan-race,plan-misfit,down
  run --seed "$seed" --events 3000 --workers 7 --accounts 2
done
# Seeds of plans that fit only if a group encloses as many jobs as it can.
for seed in 103 105 149; do
  run --seed "$seed" --events 3000 --workers 7 --accounts 2
done
run --seed 152 --events 4000 --faults plan-race,plan-misfit,down
run --seed 157 --events 3000 --workers 22 --accounts 4 \
  --faults plan-race,plan-misfit,down,leaving,worker-fails
printf '%d failures\n' "$failed"
[ "$failed" -eq 0 ]
