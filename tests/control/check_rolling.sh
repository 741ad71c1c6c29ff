#!/usr/bin/env bash
# All schedulers are replaced one after another while jobs come in; the cells
# stay evenly shared. Then the table is away for a while.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

fault ()
{
  curl -s -o /dev/null -X POST -d "$1" "$platform/v1/admin/faults"
}
held ()
{
  curl -s "$platform/v1/rows/cells" | jq -r '.rows[].value.holder' \
    | grep -c "^$1\$"
}
holds ()
{
  [ "$(held "$1")" -eq "$2" ]
}
put_jobs ()
{
  local n
  for n in $(seq "$1" "$2"); do
    put_job "d$((n % 3 + 1))" "$n" $((n % 2 + 1)) 4 300 false
  done
}
ended ()
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
  [ "$(ended)" -ge "$1" ]
}

start_world 3 2
for n in 1 2 3; do
  start_sched "a$n"
done
wait_for 100 holds a1 1
wait_for 200 holds a3 1
expect "three cells on three VMs" "1 1 1" "$(held a1) $(held a2) $(held a3)"

for n in 1 2 3; do
  put_jobs $((n * 20 - 19)) $((n * 20))
  start_sched "b$n"
  stop "a$n"
  expect "replaced a$n: it ends with 0" 0 "$STATUS"
  curl -s -o /dev/null -X DELETE "$platform/v1/admin/vms/a$n"
done
wait_for 300 have_ended 60
expect "replaced: all 60 jobs are done" 60 "$(ended)"
expect "replaced: each task began" 90 "$(began)"
expect "replaced: no task ran twice" 0 "$(doubled)"
wait_for 300 holds b1 1
wait_for 300 holds b3 1
expect "replaced: the cells are shared" "1 1 1" \
  "$(held b1) $(held b2) $(held b3)"

for n in 1 2 3; do
  put_job "d$n" $((n + 60)) 2 8 4000 false
done
sleep 2
fault '{"mode":"down"}'
sleep 6
fault '{"mode":"lost","lost_percent":30}'
put_jobs 64 90
sleep 2
fault '{"mode":"ok"}'
wait_for 300 have_ended 90
expect "table away: all 90 jobs are done" 90 "$(ended)"
expect "table away: no task ran twice" 0 "$(doubled)"
exit "$failed"
