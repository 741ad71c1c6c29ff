# Calls while upstreams fail.

# worker_fault WHAT COMMAND...: runs COMMAND after AFTER_S seconds of load, by
# default 1.
worker_fault ()
{
  local what=$1
  shift
  cluster 2 6 || return 1
  load_start --rate 80 --count 320 --deadline-ms 3000 --run-ms 150 \
    --prefix "$scenario" --settle-ms 8000
  sleep "${AFTER_S:-1}"
  "$@"
  load_end
  verdict "$what"
}

# fault_briefly NAME JSON: sets a fault for 1.5 s.
fault_briefly ()
{
  fault "$1" "$2"
  sleep 1.5
  fault "$1" '{"mode":"ok"}'
}


# calls_in_progress N: prints how many calls are in progress at worker N.
calls_in_progress ()
{
  jq -s '[.[]|if has("end") then -1 else 1 end]|add // 0' \
    "$work/journal.w$1"
}

# freeze_in_call N: freezes worker N if it has a call in progress.
freeze_in_call ()
{
  fault "w$1" '{"mode":"freeze"}'
  [ "$(calls_in_progress "$1")" -gt 0 ] && return
  fault "w$1" '{"mode":"ok"}'
  return 1
}

scenario_worker_killed ()
{
  local cut
  cluster 2 6 || return 1
  load_start --rate 80 --count 320 --deadline-ms 20000 --run-ms 500 \
    --prefix "$scenario" --settle-ms 8000
  wait_for "$HANG" freeze_in_call 1
  cut=$(calls_in_progress 1)
  crash w1
  load_end
  verdict "worker killed in $cut calls" "[ $cut -gt 0 ]"
}
scenario_worker_frozen ()
{
  worker_fault "worker frozen for 1.5 s" fault_briefly w1 '{"mode":"freeze"}'
}
scenario_worker_fails_all ()
{
  worker_fault "worker fails every call" fault w1 '{"mode":"fail_all"}'
}
scenario_worker_late ()
{
  worker_fault "worker answers 4 s late for 1.5 s" fault_briefly w1 \
    '{"mode":"late","late_ms":4000}'
}

# Calls that may be repeated must be retried at other workers within their
# deadlines, without help of the callers.
scenario_worker_silent ()
{
  worker_fault "worker's open connections go silent" fault w1 \
    '{"mode":"silent"}'
  verdict "and callers had to repeat $(repeated) calls that may be repeated" \
    '[ "$(repeated)" = 0 ]'
}

# Like scenario_worker_silent, after the entries have measured the call times.
scenario_worker_silent_later ()
{
  AFTER_S=3
  scenario_worker_silent
}

# Prints how many calls that may be repeated were repeated by their callers.
repeated ()
{
  jq -s '[.[]|select(.repeatable and .attempts > 1)]|length' \
    "$work/record.jsonl"
}

# Three seconds after a worker starts to leave, it must get no new calls.
scenario_worker_leaves ()
{
  local left late
  cluster 2 6 || return 1
  load_start --rate 80 --count 480 --deadline-ms 3000 --run-ms 150 \
    --prefix "$scenario" --settle-ms 5000
  sleep 1
  post "${ADDR[w1]}" /v1/admin/leave '' > /dev/null
  left=$(date +%s%3N)
  load_end
  late=$(jq -s "[.[]|select((has(\"end\")|not) and .start > $left + 3000)]
    |length" "$work/journal.w1")
  verdict "worker leaves; $late calls started there 3 s later" \
    "[ '$late' = 0 ]" '&& [ "$(count not_run)$(count unknown)" = 00 ]'
}
