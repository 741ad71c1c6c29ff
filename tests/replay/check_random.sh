#!/bin/sh
# Runs random events of fixed seeds with the invariant checks enabled, verifies
# the actions, and replays the emitted trace, which must give the same output.
# Refused plans are checked by check_refusals.sh.
set -u
cd "$(dirname "$0")/../.."
replay=${BIN:-bin}/skr-replay
verify=${BUILD:-build}/tests/replay/verify
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0 runs=0

# usage: run_with REPLAY_OPTIONS VERIFIER_OPTIONS RANDOM_OPTION...
run_with ()
{
  policy=$1
  check=$2
  shift 2
  runs=$((runs + 1))
  # shellcheck disable=SC2086
  "$replay" --random $policy "$@" --emit "$dir/t" > "$dir/a" \
    && "$verify" $check "$dir/t" "$dir/a" \
    && "$replay" $policy "$dir/t" | cmp - "$dir/a" && return
  printf 'FAIL skr-replay --random %s %s\n' "$policy" "$*"
  failed=$((failed + 1))
}

run ()
{
  run_with '' --no-refusals "$@"
}

for seed in 1 2 3 4 5 6 7 8; do
  run --seed "$seed" --events 4000
  run --seed "$seed" --events 3000 --workers 7 --accounts 2
done
run --seed 1 --events 10000 --workers 50 --faults none
run --seed 2 --events 6000 --workers 50 --accounts 8
run --seed 3 --events 4000 --workers 3 --accounts 3
for fault in estimates impossible job-fails worker-fails cancel-wave down \
  rack-down domain-down leaving plan-race plan-misfit burst-small \
  burst-large; do
  run --seed 9 --events 2000 --faults "$fault"
done
run --seed 4 --events 8000 --workers 50 --load 90 --equipped 100 \
  --faults estimates
run_with '--weight-completion 3' --no-refusals --seed 5 --events 5000
run_with '--weight-fragmentation 3' --no-refusals --seed 6 --events 5000
run_with '--weight-completion 0 --weight-fragmentation 0' --no-refusals --seed 7 \
  --events 3000
run_with '--spare-workers 1' --no-refusals --seed 8 --events 5000
run_with '--policy fifo-first-fit' '--baseline --no-refusals' --seed 10 --events 4000
run_with '--policy best-fit' '--baseline --no-refusals' --seed 11 --events 4000
printf '%d runs, %d failures\n' "$runs" "$failed"
[ "$failed" -eq 0 ]
