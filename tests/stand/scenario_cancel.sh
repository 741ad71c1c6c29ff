# Cancellation of jobs.

# cancel ID: cancels a job at entry 1.
cancel ()
{
  curl -s -o /dev/null -m 120 -X DELETE -H 'Authorization: Bearer key-a' \
    "http://${ADDR[entry1]}/v1/jobs/$1"
}

# job_state ID: prints the state of a job at entry 2.
job_state ()
{
  curl -s -m 120 -H 'Authorization: Bearer key-a' \
    "http://${ADDR[entry2]}/v1/jobs/$1" | jq -r .state
}

job_is () { [ "$(job_state "$1")" = "$2" ]; }

# Prints the accelerators in use on all workers.
accelerators_used ()
{
  local n
  for n in 1 2 3 4 5 6; do
    get "${ADDR[w$n]}" /v1/usage | jq .accelerators_used
  done | jq -s add
}

idle () { [ "$(accelerators_used)" = 0 ]; }

some_run () { runs d1 || runs d2 || runs d3; }

# Thirty jobs are cancelled at once.  Some of them run, and none can finish by
# itself.
scenario_cancel_wave ()
{
  local i id ids=() cancelled=0 calls=()
  job_cluster || return 1
  touch "$work/hold"
  for ((i = 0; i < 30; i++)); do
    id=$(curl -s -m 120 -H 'Authorization: Bearer key-a' \
      -H "Idempotency-Key: wave-$i" "http://${ADDR[entry1]}/v1/jobs" \
      -d '{"class":"bulk","tasks":2,"per_task":4,"declared_ms":1000,
        "repeatable":false,"preemptible":true,
        "payload":{"fake":{"run_ms":60000}}}' | jq -r .job)
    ids+=("$id")
  done
  wait_for "$HANG" some_run
  for id in "${ids[@]}"; do
    cancel "$id" &
    calls+=($!)
  done
  wait "${calls[@]}"
  for id in "${ids[@]}"; do
    wait_for "$HANG" job_is "$id" cancelled && cancelled=$((cancelled + 1))
  done
  wait_for "$HANG" idle
  no_load 30 "$cancelled"
  verdict "30 jobs cancelled at once, $cancelled ended so, $(accelerators_used) accelerators left in use" \
    "[ $cancelled = 30 ] && idle"
}
