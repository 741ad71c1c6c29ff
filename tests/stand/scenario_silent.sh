# A silent entry VM: its processes are paused, so that its connections stay open
# and accept data until their buffers are full.

# put_rate N CALLS_PER_SECOND: puts a new limit at entry N and prints the HTTP
# status.
put_rate ()
{
  put_at "entry$1" "$(version_at "$1")" "$2"
}

# admitted FROM_MS TO_MS: prints how many calls sent in that time were admitted.
admitted ()
{
  jq -s "[.[]|select(.sent_ms >= $1 and .sent_ms < $2 and .end != \"not_run\")]
    |length" "$work/record.jsonl"
}

# seconds_over LIMIT FROM_MS TO_MS: prints in how many seconds more calls than
# LIMIT were admitted.
seconds_over ()
{
  local at over=0
  for ((at = $2; at < $3; at += 1000)); do
    [ "$(admitted "$at" $((at + 1000)))" -le "$1" ] || over=$((over + 1))
  done
  echo "$over"
}

# A new list must reach the responsive VMs, and the silent VM once it is
# resumed.  Jobs must be handed over and finish.  The shares of a rate limit
# must stay within it: 60 calls a second are 20 for each of three VMs, so 40 for
# the two responsive ones, and 80 are offered.  The first two seconds are not
# counted because of the sudden start of the load, see REQUESTS.md.
scenario_vm_silent ()
{
  local cells began spread refused
  job_cluster || return 1
  ENTRIES=${ADDR[entry1]},${ADDR[entry2]}
  mapfile -t cells < <(cells_of 3)
  kill -STOP "${PID[entry3]}" "${PID[sched3]}"
  [ "${#cells[@]}" -eq 0 ] || await_take_over "${cells[@]}"
  jobs_start --settle-ms 240000
  began=$(date +%s%3N)
  refused=$(put_rate 1 60)
  wait_for "$HANG" all_at_least 2 1 2
  spread=$(($(date +%s%3N) - began))
  load_end
  verdict "VM silent, ${#cells[@]} cells taken over, list ($refused) in force elsewhere in $spread ms" \
    "[ $refused = 200 ] && [ $spread -lt 5000 ]" '&& [ "$(count done)" = 40 ]'
  ACCOUNTS=a=key-a load --rate 80 --count 800 --run-ms 5 --deadline-ms 5000 \
    --prefix "$scenario-calls" --settle-ms 0
  verdict "limit of 60 calls a second: $(seconds_over 60 2000 10000) seconds over it" \
    '[ "$(seconds_over 60 2000 10000)" = 0 ]'
  kill -CONT "${PID[entry3]}" "${PID[sched3]}"
  began=$(date +%s%3N)
  wait_for "$HANG" all_at_least 2 3
  spread=$(($(date +%s%3N) - began))
  no_load 1 1
  verdict "woken VM has the list in $spread ms" "[ $spread -lt 5000 ]"
  unset ENTRIES
}
