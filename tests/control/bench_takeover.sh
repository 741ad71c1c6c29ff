#!/usr/bin/env bash
# Benchmark: time in milliseconds from the end of a cell's holder, killed or
# stopped with SIGTERM, until another scheduler serves the cell. The cell lease
# is 1,500 ms.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

# served_at_ms NAME: prints the time of its last log line "cell-recovered".
served_at_ms ()
{
  grep " 504 " "$work/$1.err" | tail -n 1 | cut -d ' ' -f 1
}

start_world 1 4
start_sched t0
wait_for 100 has_logged t0 504
put_job d1 1 4 8 600000 false
wait_for 100 has_states d1 "running=1"
printf '%-8s %8s\n' end ms
for n in $(seq 10); do
  start_sched "t$n"
  sleep 1
  from=$(date +%s%3N)
  if [ $((n % 2)) -eq 1 ]; then
    how=killed
    crash "t$((n - 1))"
  else
    how=stopped
    stop "t$((n - 1))"
  fi
  wait_for 200 has_logged "t$n" 504
  printf '%-8s %8d\n' "$how" $(($(served_at_ms "t$n") - from))
done > "$work/times"
sort "$work/times"
