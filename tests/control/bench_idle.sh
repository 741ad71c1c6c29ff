#!/usr/bin/env bash
# Benchmark: processor time and memory of one scheduler with one cell, by the
# number of workers, idle and with four one-accelerator jobs on each worker.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh
seconds=${SECONDS_EACH:-8}
# Seconds to wait: polls reach their longest interval 32 s after the last order.
settle=${SETTLE:-35}

# cpu_ms PID: prints the processor time in milliseconds.
cpu_ms ()
{
  awk '{print ($14 + $15) * 10}' "/proc/$1/stat"
}
# measure WORKERS LOAD: prints one row of the result.
measure ()
{
  local pid=${PID[s1]} from
  sleep "$settle"
  from=$(cpu_ms "$pid")
  sleep "$seconds"
  printf '%-8s %8d %12d %10d\n' "$2" "$1" \
    $((($(cpu_ms "$pid") - from) / seconds)) \
    "$(awk '/VmRSS/{print $2}' "/proc/$pid/status")"
}

printf '%-8s %8s %12s %10s\n' load workers cpu-ms/s rss-KB
for workers in ${WORKERS:-8 32 128}; do
  start_world 1 "$workers"
  start_sched s1
  wait_for 100 has_logged s1 504
  measure "$workers" idle
  for n in $(seq $((workers * 4))); do
    put_job d1 "$n" 1 1 600000 true
  done
  wait_for 300 has_states d1 "running=$((workers * 4))"
  measure "$workers" tasks
  for name in "${!PID[@]}"; do
    crash "$name"
  done
done
