# Two simultaneous failures.

# Prints the number of claims in the table of calls that were first made at
# entry 1, which follows from the number in the key.
claims_of_entry1 ()
{
  get "${ADDR[platform]}" "/v1/rows/requests?limit=10000" \
    | jq -r '.rows[].key' | awk -F- -v p="$scenario" \
      '$0 ~ p && $NF % 3 == 0' | wc -l
}
has_claims_of_entry1 () { [ "$(claims_of_entry1)" -ge "$1" ]; }

# The store delays its answers to writes, and the entry that waits for them is
# killed.  Its claims are in the table, but no process knows of them.
scenario_store_slow_entry_killed ()
{
  local claimed
  patient_entries
  cluster 3 6 || return 1
  fault platform '{"mode":"hold"}'
  load_start --rate 40 --count 120 --deadline-ms 20000 --prefix "$scenario" \
    --settle-ms 8000 --repeatable-percent 30
  wait_for "$HANG" has_claims_of_entry1 5
  claimed=$(claims_of_entry1)
  crash entry1
  fault platform '{"mode":"ok"}'
  load_end
  verdict "store slow, entry killed with $claimed claims unanswered" \
    "[ $claimed -ge 5 ]"
}

# A scheduler is paused past its lease while the store loses answers, including
# those to the scheduler that takes over.
scenario_store_lossy_sched_paused ()
{
  local victim cells
  SCHED_ARGS=(--task-lease-ms 600000)
  job_cluster || return 1
  touch "$work/hold"
  jobs_start --repeatable-percent 0 --settle-ms 240000
  wait_for "$HANG" runs d1
  fault platform '{"mode":"lost","lost_percent":30}'
  victim=$(holder d1)
  mapfile -t cells < <(cells_of "$victim")
  kill -STOP "${PID[sched$victim]}"
  await_take_over "${cells[@]}"
  rm "$work/hold"
  kill -CONT "${PID[sched$victim]}"
  load_end
  fault platform '{"mode":"ok"}'
  verdict "store loses 30% of its answers, scheduler paused past its lease; $(partial_gangs) partial gangs" \
    '[ "$(partial_gangs)" = 0 ]'
}

config_version ()
{
  get "${ADDR[platform]}" /v1/rows/config/allowances | jq .value.version
}
written () { [ "$(config_version)" -ge "$1" ]; }

# rate_at N: prints calls_per_second of the list in force at entry N.
rate_at ()
{
  curl -s -m 20 -H "Authorization: Bearer $OPERATOR_KEY" \
    "http://${ADDR[entry$1]}/v1/allowances" | jq '.list[0].calls_per_second'
}

# race ROUND: two operators change one version.  The store applies the write of
# one, drops the answer and goes down.  The operator whose list is in force must
# not have been told that it was refused, nor the other that it was accepted.
race ()
{
  local version operators=() rate status1 status2
  version=$(version_at 1)
  fault platform '{"mode":"hold"}'
  put_at entry1 "$version" $((1000 + $1)) > "$work/race.1" &
  operators+=($!)
  put_at entry2 "$version" $((2000 + $1)) > "$work/race.2" &
  operators+=($!)
  wait_for "$HANG" written $((version + 1))
  fault platform '{"mode":"down"}'
  wait "${operators[@]}"
  fault platform '{"mode":"ok"}'
  wait_for "$HANG" all_at_least $((version + 1)) 1 2 3
  rate=$(rate_at 3)
  status1=$(cat "$work/race.1") status2=$(cat "$work/race.2")
  answers="$answers $status1/$status2"
  [ "$(rate_at 1) $(rate_at 2)" = "$rate $rate" ] || return 1
  case $rate in
    $((1000 + $1))) statuses_correct "$status1" "$status2" ;;
    $((2000 + $1))) statuses_correct "$status2" "$status1" ;;
    *) return 1 ;;
  esac
}

# statuses_correct WINNER LOSER: both HTTP statuses are correct.
statuses_correct ()
{
  [[ $1 =~ ^(200|504)$ ]] && [[ $2 =~ ^(409|503|504)$ ]]
}

scenario_racing_operators_store_down ()
{
  local round correct=0 answers=
  patient_entries
  cluster 3 6 || return 1
  for round in 1 2 3 4 5; do
    race "$round" && correct=$((correct + 1))
  done
  no_load 10 "$correct"
  verdict "5 races, store down after the write; answered$answers" "[ $correct = 5 ]"
}
