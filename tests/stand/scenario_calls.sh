# Calls while entries are killed, stopped or paused, or while two entries get
# the same key.

# kill_at POINT: entry 1 blocks at POINT in each call that may not be repeated
# and is killed once five calls are blocked.  The callers repeat their keys at
# the other entries.
kill_at ()
{
  local stuck
  FAULT_POINT=$1 cluster 3 6 || return 1
  load_start --rate 40 --count 60 --repeatable-percent 30 \
    --deadline-ms 20000 --prefix "$scenario" --settle-ms 8000
  wait_for "$HANG" has_logged entry1 602 5
  stuck=$(log_count entry1 602)
  crash entry1
  load_end
  verdict "entry killed $1 of $stuck calls" "[ $stuck -ge 5 ]"
}

scenario_kill_before_claim () { kill_at before-claim; }
scenario_kill_after_claim () { kill_at after-claim; }
scenario_kill_after_dispatch () { kill_at after-dispatch; }
scenario_kill_before_answer () { kill_at before-answer; }

# call ENTRY KEY REPEATABLE DEADLINE_MS RUN_MS [CURL ARGS...]: makes one call
# of account a and prints the answer.
call ()
{
  local entry=$1 key=$2
  curl -s -m 120 -H 'Authorization: Bearer key-a' \
    -H "Idempotency-Key: $key" -d "{\"kind\":\"k\",\"repeatable\":$3,
      \"deadline_ms\":$4,\"payload\":{\"fake\":{\"run_ms\":$5,
      \"tag\":\"$key\"}}}" "${@:6}" "http://${ADDR[$entry]}/v1/calls"
}

# starts_of TAG: prints how many executions the journals have.
starts_of ()
{
  cat "$work"/journal.* | jq -s "[.[]|select(.tag==\"$1\" and (has(\"end\")|not))]|length"
}

# The same key is used at two entries at once.  Each call must run once, and
# both callers must get the same answer.
scenario_same_key_twice ()
{
  local i n ran=0 same=0 callers=()
  cluster 2 6 || return 1
  for i in 1 2 3 4 5 6 7 8 9 10; do
    for n in 1 2; do
      call "entry$n" "twin-$i" false 60000 100 > "$work/twin.$i.$n" &
      callers+=($!)
    done
  done
  wait "${callers[@]}"
  for i in 1 2 3 4 5 6 7 8 9 10; do
    [ "$(starts_of "twin-$i")" = 1 ] && ran=$((ran + 1))
    [ "$(jq -S .answer "$work/twin.$i.1")" \
      = "$(jq -S .answer "$work/twin.$i.2")" ] && same=$((same + 1))
  done
  echo "{\"sent\":20,\"done\":$(cat "$work"/twin.* \
    | jq -s '[.[]|select(.state=="done")]|length'),\"failed\":0,\"not_run\":0,
    \"unsent\":0,\"unknown\":0,\"lost\":0,\"doubled\":$((10 - ran)),
    \"crossed\":$((10 - same)),\"false_refusals\":0}" > "$work/load.json"
  verdict "10 keys at two entries at once" '[ "$(count done)" = 20 ]'
}

# The first entry is killed after dispatch, and the caller repeats the key while
# the store is down.  The answer must be "unknown", as nothing proves that the
# call was not run.
scenario_double_fault ()
{
  local first state
  FAULT_POINT=after-dispatch cluster 2 6 || return 1
  call entry1 double false 20000 10 -H 'Idempotency-Attempt: 1' \
    > /dev/null &
  first=$!
  wait_for "$HANG" eval '[ "$(starts_of double)" = 1 ]'
  fault platform '{"mode":"down"}'
  crash entry1
  wait "$first"
  state=$(call entry2 double false 1500 10 -H 'Idempotency-Attempt: 2' \
    | jq -r .state)
  fault platform '{"mode":"ok"}'
  echo "{\"sent\":1,\"done\":0,\"failed\":0,\"not_run\":0,\"unsent\":0,
    \"unknown\":1,\"lost\":0,\"doubled\":$(($(starts_of double) - 1)),
    \"crossed\":0,\"false_refusals\":0}" > "$work/load.json"
  verdict "entry killed after dispatch, store down, key repeated" \
    "[ '$state' = unknown ]"
}

# all_workers MODE: sets the fault mode of all workers.
all_workers ()
{
  local n
  for n in 1 2 3 4 5 6; do
    fault "w$n" "{\"mode\":\"$1\"}"
  done
}

# sigterm CALLS: sends SIGTERM to entry 1 while CALLS calls are in progress, a
# third of them at entry 1, where the status request counts as in progress, too.
# The workers are frozen, so that the calls last until entry 1 has logged that
# it stops.  The load then continues while it drains and exits.
sigterm ()
{
  local met not_run
  patient_entries
  cluster 3 6 || return 1
  all_workers freeze
  load_start --rate 100 --count "$1" --deadline-ms 60000 --prefix held \
    --settle-ms 8000
  wait_for "$HANG" status_is 1 ".in_progress > $1 / 3"
  unlist_vm 1
  kill -TERM "${PID[entry1]}"
  wait_for "$HANG" has_logged entry1 102
  met=$(sed -n 's/.* 102 .*in_progress=\([0-9]*\).*/\1/p' "$work/entry1.err")
  all_workers ok
  load_end
  verdict "entry stopped with $met calls in progress" "[ '$met' -ge $(($1 / 3)) ]" \
    '&& [ "$(count done)" = '"$1 ]"
  load --rate 50 --count 200 --deadline-ms 60000 --prefix "$scenario" \
    --settle-ms 8000
  stop entry1
  verdict "and load over its drain and end, status $STATUS" \
    '[ "$STATUS" = 0 ]' '&& grep -q " 103 .*cut=0" "$work/entry1.err"' \
    '&& [ "$(count not_run)$(count unknown)$(count unsent)" = 000 ]'
}

scenario_sigterm () { sigterm 24; }

# Like scenario_sigterm, while all slots of all workers are in use.
scenario_sigterm_full () { sigterm 90; }

# An entry is paused under load for longer than the timeouts of its peers, and
# then resumed.
scenario_entry_paused ()
{
  cluster 3 6 || return 1
  load_start --rate 60 --count 480 --run-ms 50 --deadline-ms 3000 \
    --prefix "$scenario" --settle-ms 15000
  sleep 1
  kill -STOP "${PID[entry1]}"
  sleep 6
  kill -CONT "${PID[entry1]}"
  load_end
  verdict "entry paused for 6 s"
}
