#!/bin/sh
# Prints the duration of calls into the decision core and the size of its state
# as the number of workers doubles up to 26,000, with 58,000 accelerators and
# 330,000 tasks.  MAX_WORKERS limits the number of workers.
set -eu
cd "$(dirname "$0")/../.."
replay=${BIN:-bin}/skr-replay
printf '%8s %8s %9s %10s %10s %10s %12s %9s\n' workers tasks calls \
  median_us p99_us worst_us bytes seconds
for workers in 406 812 1625 3250 6500 13000 26000; do
  [ "$workers" -le "${MAX_WORKERS:-26000}" ] || break
  tasks=$((workers * 330 / 26))
  start=$(date +%s)
  cost=$("$replay" --random --seed 1 --workers "$workers" --tasks "$tasks" \
    --events $((workers + tasks + 20000)) --equipped 28 --load 90 \
    --faults estimates --no-check --costs 2>&1 > /dev/null)
  # calls N median_us N p99_us N worst_us N peak_bytes N
  # shellcheck disable=SC2086
  set -- $cost
  printf '%8d %8d %9s %10s %10s %10s %12s %9d\n' "$workers" "$tasks" "$2" \
    "$4" "$6" "$8" "${10}" $(($(date +%s) - start))
done
