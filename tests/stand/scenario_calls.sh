# Calls while entries die, or meet the same key twice.

# kill_at POINT: entry 1 stops at POINT of each call that may not be repeated
# and is then killed; the callers repeat their keys at the others.
kill_at ()
{
  FAULT_POINT=$1 cluster 3 6 || return 1
  load_start --rate 40 --count 60 --repeatable-percent 30 \
    --deadline-ms 4000 --prefix "$scenario" --settle-ms 8000
  sleep 1
  crash entry1
  load_end
  verdict "entry killed $1"
}

scenario_kill_before_claim () { kill_at before-claim; }
scenario_kill_after_claim () { kill_at after-claim; }
scenario_kill_after_dispatch () { kill_at after-dispatch; }
scenario_kill_before_answer () { kill_at before-answer; }

# call ENTRY KEY REPEATABLE DEADLINE_MS RUN_MS [CURL ARGS...]
call ()
{
  local entry=$1 key=$2
  curl -s -m 20 -H 'Authorization: Bearer key-a' \
    -H "Idempotency-Key: $key" -d "{\"kind\":\"k\",\"repeatable\":$3,
      \"deadline_ms\":$4,\"payload\":{\"fake\":{\"run_ms\":$5,
      \"tag\":\"$key\"}}}" "${@:6}" "http://${ADDR[$entry]}/v1/calls"
}

starts_of ()
{
  cat "$work"/journal.* | jq -s "[.[]|select(.tag==\"$1\" and (has(\"end\")|not))]|length"
}

# The same key at two entries at once: one run, one answer.
scenario_same_key_twice ()
{
  local i n ran=0 same=0 callers=()
  cluster 2 6 || return 1
  for i in 1 2 3 4 5 6 7 8 9 10; do
    for n in 1 2; do
      call "entry$n" "twin-$i" false 5000 100 > "$work/twin.$i.$n" &
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

# A caller repeats a key whose first entry died after dispatch, while the
# store is down: nobody can prove that it was not run.
scenario_double_fault ()
{
  local first state
  FAULT_POINT=after-dispatch cluster 2 6 || return 1
  call entry1 double false 20000 10 -H 'Idempotency-Attempt: 1' \
    > /dev/null &
  first=$!
  wait_for 50 eval '[ "$(starts_of double)" = 1 ]'
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

# SIGTERM of one entry under load.
scenario_sigterm ()
{
  cluster 3 6 || return 1
  load_start --rate 100 --count 400 --run-ms 50 --deadline-ms 4000 \
    --prefix "$scenario" --settle-ms 5000
  sleep 1.5
  unlist_vm 1
  stop entry1
  load_end
  verdict "entry stopped under load, status $STATUS" '[ "$STATUS" = 0 ]' \
    '&& [ "$(count not_run)$(count unknown)$(count unsent)" = 000 ]'
}

# An entry is stopped under load for longer than its peers wait, then goes on.
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
