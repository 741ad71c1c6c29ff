# Planned replacement: every entry VM is replaced, one after another, under a
# load of calls and jobs.
scenario_rolling_replacement ()
{
  local n port cut=0
  local -A ports
  job_cluster || return 1
  ENTRIES=$(entries)
  for n in 4 5 6; do
    ports[$n]=$(free_port)
    ENTRIES=$ENTRIES,127.0.0.1:${ports[$n]}
  done
  load_start --rate 40 --count 800 --jobs-percent 10 --job-tasks 3 \
    --job-per-task 4 --job-run-ms 300 --run-ms 30 --deadline-ms 4000 \
    --attempts 7 --prefix "$scenario" --settle-ms 40000
  for n in 1 2 3; do
    sleep 2
    start_entry $((n + 3)) --listen "127.0.0.1:${ports[$((n + 3))]}" \
      --peers "$(peers)"
    start_sched $((n + 3))
    unlist_vm "$n"
    stop "sched$n"
    [ "$STATUS" -eq 0 ] || cut=$((cut + 1))
    stop "entry$n"
    [ "$STATUS" -eq 0 ] || cut=$((cut + 1))
  done
  load_end
  unset ENTRIES
  verdict "all 3 entry VMs replaced under load, $cut ended badly" \
    "[ $cut = 0 ]" '&& [ "$(count unknown)$(count unsent)" = 00 ]'
}
