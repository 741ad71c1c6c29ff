# Jobs while schedulers, workers and the store fail.  A job is a gang of three
# tasks with four accelerators each, so it spans two workers.

# jobs_start ARGS...: submits jobs in the background; load_end waits for them.
jobs_start ()
{
  load_start --rate 8 --count 40 --jobs-percent 100 --job-tasks 3 \
    --job-per-task 4 --job-run-ms 400 --prefix "$scenario" \
    --settle-ms 40000 "$@"
}

# Prints the number of attempts of which some tasks started and others did not.
partial_gangs ()
{
  cat "$work"/journal.* | jq -s '[.[]|select(.kind=="task" and
    (has("end")|not))]|group_by([.id,.attempt])
    |map(map(.task)|unique|length)|map(select(. != 3))|length'
}

# Prints the number of executions for each outcome.
outcomes ()
{
  cat "$work"/journal.* | jq -s -r '[.[]|select(.kind=="task" and
    has("end"))|.outcome]|group_by(.)|map("\(.[0]) \(length)")|join(", ")'
}

# cell CELL FIELD: prints a field of the row of CELL.
cell ()
{
  get "${ADDR[platform]}" "/v1/rows/cells/$1" | jq -r ".value.$2"
}

# holder CELL: prints the number of the VM that holds it.
holder () { cell "$1" holder | sed 's/^vm//'; }

# taken_over CELL EPOCH: the cell has an epoch above EPOCH.
taken_over () { [ "$(cell "$1" epoch)" -gt "$2" ]; }

# await_take_over CELL:EPOCH...: waits until all these cells have been taken
# over and sets TOOK_MS to the time it took.
await_take_over ()
{
  local began cell
  began=$(date +%s%3N)
  for cell in "$@"; do
    wait_for "$HANG" taken_over "${cell%:*}" "${cell#*:}"
  done
  TOOK_MS=$(($(date +%s%3N) - began))
}

# cells_of N: prints the cells that VM N holds, as CELL:EPOCH.
cells_of ()
{
  get "${ADDR[platform]}" /v1/rows/cells \
    | jq -r ".rows[]|select(.value.holder==\"vm$1\")|\"\(.key):\(.value.epoch)\""
}

cells_held () { [ "$(get "${ADDR[platform]}" /v1/rows/cells \
  | jq '[.rows[]|select(.value.holder)]|length')" = "$DOMAINS" ]; }

# job_cluster [WORKERS]: starts a cluster and waits until all cells are held.  A
# gang needs two workers of a cell, so a cell that loses one needs three.
job_cluster ()
{
  cluster 3 "${1:-6}" || return 1
  wait_for "$HANG" cells_held
}

scenario_jobs ()
{
  job_cluster || return 1
  jobs_start
  load_end
  verdict "no fault; $(partial_gangs) partial gangs" \
    '[ "$(partial_gangs)" = 0 ] && [ "$(count done)" = 40 ]'
}

scenario_sched_killed ()
{
  local victim cells
  job_cluster || return 1
  jobs_start
  sleep 2
  victim=$(holder d1)
  mapfile -t cells < <(cells_of "$victim")
  crash "sched$victim"
  await_take_over "${cells[@]}"
  load_end
  verdict "scheduler killed, ${#cells[@]} cells taken over in $TOOK_MS ms" \
    '[ "$TOOK_MS" -lt 10000 ]'
}

# The scheduler that took over is killed while it recovers the cell.
scenario_sched_killed_twice ()
{
  local victim epoch
  job_cluster || return 1
  jobs_start
  sleep 2
  victim=$(holder d1)
  epoch=$(cell d1 epoch)
  crash "sched$victim"
  await_take_over "d1:$epoch"
  victim=$(holder d1)
  epoch=$(cell d1 epoch)
  crash "sched$victim"
  await_take_over "d1:$epoch"
  load_end
  verdict "scheduler killed, then the one that took over, in $TOOK_MS ms"
}

# running CELL: prints the number of running jobs.  runs CELL [N]: there are N
# or more, by default 1.
running ()
{
  get "${ADDR[platform]}" "/v1/rows/jobs.$1?limit=1000" \
    | jq '[.rows[]|select(.value.state=="running")]|length'
}
runs () { [ "$(running "$1")" -ge "${2-1}" ]; }

# The holder of a cell is paused past its lease while a gang runs there, and is
# resumed after another scheduler has recovered the cell.
scenario_sched_paused ()
{
  local victim cells
  job_cluster || return 1
  touch "$work/hold"
  jobs_start --repeatable-percent 0 --settle-ms 240000
  wait_for "$HANG" runs d1
  victim=$(holder d1)
  mapfile -t cells < <(cells_of "$victim")
  kill -STOP "${PID[sched$victim]}"
  await_take_over "${cells[@]}"
  wait_for "$HANG" has_logged "sched$(holder d1)" '504 .*cell="d1"'
  rm "$work/hold"
  kill -CONT "${PID[sched$victim]}"
  load_end
  verdict "scheduler paused past its lease, taken over in $TOOK_MS ms"
}

# Prints the number of jobs in the table that were first submitted at entry 1,
# which follows from the number in the key.
rows_of_entry1 ()
{
  local cell
  for cell in d1 d2 d3; do
    get "${ADDR[platform]}" "/v1/rows/jobs.$cell?limit=1000" \
      | jq -r '.rows[].value.key'
  done | awk -F- '$NF % 3 == 0' | wc -l
}
has_rows_of_entry1 () { [ "$(rows_of_entry1)" -ge "$1" ]; }

# The entry has written jobs and is killed before the store answers.  The
# callers repeat their keys at other entries.
scenario_jobs_entry_killed ()
{
  local written
  patient_entries
  job_cluster || return 1
  fault platform '{"mode":"hold"}'
  jobs_start --rate 40 --count 80 --job-tasks 1 --job-run-ms 100 \
    --repeatable-percent 0 --deadline-ms 60000 --settle-ms 240000
  wait_for "$HANG" has_rows_of_entry1 3
  written=$(rows_of_entry1)
  crash entry1
  fault platform '{"mode":"ok"}'
  load_end
  verdict "entry killed with $written jobs written and not answered, $(count_retried) keys repeated" \
    "[ $written -ge 3 ]" '&& [ "$(count_retried)" -ge 3 ]' \
    '&& [ "$(count done)" = 80 ]'
}

# Prints the number of requests that were sent more than once.
count_retried ()
{
  jq -s '[.[]|select(.attempts > 1)]|length' "$work/record.jsonl"
}

# Several failures at once under a load of calls and jobs.
scenario_together ()
{
  local victim
  job_cluster 9 || return 1
  load_start --rate 60 --count 480 --jobs-percent 10 --job-tasks 3 \
    --job-per-task 4 --job-run-ms 300 --run-ms 50 --deadline-ms 4000 \
    --prefix "$scenario" --settle-ms 60000
  sleep 1
  fault platform '{"mode":"lost","lost_percent":15}'
  sleep 1
  victim=$(holder d1)
  crash "sched$victim"
  fault w2 '{"mode":"silent"}'
  sleep 1
  crash w3
  crash entry3
  sleep 4
  fault platform '{"mode":"ok"}'
  load_end
  verdict "lossy store, scheduler, worker and entry killed, worker silent"
}

scenario_jobs_worker_killed ()
{
  job_cluster 9 || return 1
  jobs_start
  sleep 2
  crash w1
  load_end
  verdict "worker killed; tasks $(outcomes)"
}

# Prints the number of rows of jobs that were moved to another cell.
moved ()
{
  local d
  for ((d = 1; d <= DOMAINS; d++)); do
    get "${ADDR[platform]}" "/v1/rows/jobs.d$d?limit=1000"
  done | jq -s '[.[].rows[].value|select(.moved_to)]|length'
}

# Each cell has two workers.  After one is killed, the cell has no capacity for
# a gang, so its jobs must move to another cell.
scenario_jobs_cell_shrunk ()
{
  job_cluster || return 1
  jobs_start
  sleep 2
  crash w1
  load_end
  verdict "worker killed, its cell holds no gang; $(moved) moved; tasks \
$(outcomes)" '[ "$(moved)" -gt 0 ]' '&& [ "$(count not_run)" = 0 ]'
}

scenario_jobs_worker_frozen ()
{
  job_cluster 9 || return 1
  jobs_start
  sleep 2
  fault w1 '{"mode":"freeze"}'
  sleep 3
  fault w1 '{"mode":"ok"}'
  load_end
  verdict "worker frozen for 3 s; tasks $(outcomes)"
}

scenario_jobs_worker_fails_all ()
{
  job_cluster 9 || return 1
  fault w1 '{"mode":"fail_all"}'
  jobs_start --repeatable-percent 100
  load_end
  verdict "worker fails every task; tasks $(outcomes)" \
    '[ "$(count done)" = 40 ]'
}

scenario_jobs_worker_leaves ()
{
  local left late
  job_cluster 9 || return 1
  jobs_start
  sleep 2
  post "${ADDR[w1]}" /v1/admin/leave '' > /dev/null
  left=$(date +%s%3N)
  load_end
  late=$(jq -s "[.[]|select((has(\"end\")|not) and .start > $left + 3000)]
    |length" "$work/journal.w1")
  verdict "worker leaves; $late tasks started there 3 s later" \
    "[ '$late' = 0 ]" '&& [ "$(count done)" = 40 ]'
}

# Running tasks must survive a store outage that is shorter than their leases.
scenario_jobs_store_down ()
{
  job_cluster || return 1
  jobs_start --job-run-ms 3000 --count 12
  sleep 2
  fault platform '{"mode":"down"}'
  sleep 5
  fault platform '{"mode":"ok"}'
  load_end
  verdict "store down for 5 s; tasks $(outcomes); $(get "${ADDR[platform]}" \
    /v1/admin/counters | jq '.writes_max_1s') writes in a second at most" \
    '[ "$(outcomes)" = "done $(($(count done) * 3))" ]'
}

# The store loses answers until every job has ended.
scenario_jobs_store_lossy ()
{
  job_cluster || return 1
  fault platform '{"mode":"lost","lost_percent":20}'
  jobs_start --settle-ms 240000
  load_end
  fault platform '{"mode":"ok"}'
  verdict "store loses 20% of its answers; tasks $(outcomes)"
}
