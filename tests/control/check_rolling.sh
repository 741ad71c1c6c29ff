#!/usr/bin/env bash
# All schedulers are replaced one after another while jobs are submitted; the
# cells stay evenly distributed. Then the table is unavailable for a while.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

platform_fault ()
{
  curl -s -o /dev/null -X POST -d "$1" "$platform/v1/admin/faults"
}
cells_held_by ()
{
  curl -s "$platform/v1/rows/cells" | jq -r '.rows[].value.holder' \
    | grep -c "^$1\$"
}
# each_holds_one NAME...: whether each of them holds one cell.
each_holds_one ()
{
  local name
  for name in "$@"; do
    [ "$(cells_held_by "$name")" -eq 1 ] || return 1
  done
}
all_running ()
{
  [ "$(states "$1")" = "done=$2 running=1" ]
}
put_jobs ()
{
  local n
  for n in $(seq "$1" "$2"); do
    put_job "d$((n % 3 + 1))" "$n" $((n % 2 + 1)) 4 300 false
  done
}
ended_jobs ()
{
  local d total=0 n
  for d in 1 2 3; do
    n=$(curl -s "$platform/v1/rows/jobs.d$d?limit=1000" \
      | jq '[.rows[] | select(.value.state == "done")] | length')
    total=$((total + n))
  done
  echo "$total"
}
have_ended ()
{
  [ "$(ended_jobs)" -ge "$1" ]
}

# Leases long enough not to expire on a busy machine; task leases outlive any
# take-over.
SCHED_ARGS=(--cell-lease-ms 3000 --cell-margin-ms 750 --task-lease-ms 600000
  --drain-ms 60000)

start_world 3 2
for n in 1 2 3; do
  start_sched "a$n"
done
wait_for "$HANG" each_holds_one a1 a2 a3
expect "three cells on three VMs" 0 "$?"

for n in 1 2 3; do
  put_jobs $((n * 20 - 19)) $((n * 20))
  start_sched "b$n"
  stop "a$n"
  expect "replaced a$n: exit status 0" 0 "$STATUS"
  curl -s -o /dev/null -X DELETE "$platform/v1/admin/vms/a$n"
done
wait_for "$HANG" have_ended 60
expect "replaced: all 60 jobs are done" 60 "$(ended_jobs)"
expect "replaced: each task started" 90 "$(count_started)"
expect "replaced: no task ran twice" 0 "$(count_started_twice)"
wait_for "$HANG" each_holds_one b1 b2 b3
expect "replaced: the cells are distributed" 0 "$?"

# The tasks end while the table is unavailable and all cell leases have expired.
hold
for n in 1 2 3; do
  put_job "d$n" $((n + 60)) 2 8 500 false
  wait_for "$HANG" all_running "d$n" 20
  expect "table unavailable: a gang runs in d$n" "done=20 running=1" "$(states "d$n")"
done
platform_fault '{"mode":"down"}'
for n in 1 2 3; do
  wait_for "$HANG" has_logged "b$n" 505
  expect "table unavailable: b$n logs the expiry of its lease" 0 "$?"
done
release
# ended_tasks: prints the number of ended tasks.
ended_tasks ()
{
  cat "$work"/journal.* | jq -s '[.[]|select(.kind=="task" and has("end"))]
    |length'
}
all_ended ()
{
  [ "$(ended_tasks)" -eq "$1" ]
}
wait_for "$HANG" all_ended 96
expect "table unavailable: the tasks end" 96 "$(ended_tasks)"
platform_fault '{"mode":"lost","lost_percent":30}'
put_jobs 64 90
wait_for "$HANG" have_ended 80
expect "lossy table: jobs continue" 0 "$?"
platform_fault '{"mode":"ok"}'
wait_for "$HANG" have_ended 90
expect "table unavailable: all 90 jobs are done" 90 "$(ended_jobs)"
expect "table unavailable: no task ran twice" 0 "$(count_started_twice)"
exit "$failed"
