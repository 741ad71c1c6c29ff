#!/usr/bin/env bash
# The platform's table loses its replies, is down, does not answer at all, or
# answers only on new connections.  Guards
# against calls that run twice or are reported as not run although they may
# have run, and against refusals that outlast the caller.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

job ()
{
  curl -s -m 20 -o "$work/job" -D "$work/head" -w '%{http_code} ' \
    -H "Authorization: Bearer $DESK" -H "Idempotency-Key: $1" \
    -H "Idempotency-Attempt: 1" "http://${ADDR[e1]}/v1/jobs" \
    -d '{"class":"bulk","tasks":1,"per_task":1,"declared_ms":10,
         "repeatable":true,"preemptible":true,"payload":{}}'
  jq -r '.state' "$work/job"
}
table_down ()
{
  [ "$(operator e1 /v1/status | jq .table_down)" = "$1" ]
}
is_done ()
{
  [ "$(call e1 "$1" false 300000 10)" = "200 done" ]
}
start_all 3 1 --table-timeout-ms 300
platform_fault '{"mode":"lost","lost_percent":100}'
expect "lost claims are read back" "200 done" \
  "$(first_attempt e1 lost1 false 5000 10)"
expect "and it ran once" 1 "$(count_starts lost1)"
expect "a lost job is read back" "202 queued" "$(job lost-job)"

for mode in down mute; do
  platform_fault "{\"mode\":\"$mode\"}"
  wait_for "$HANG" table_down true
  expect "$mode: what may be repeated goes on" "200 done" \
    "$(first_attempt e1 "$mode-r" true 5000 10)"
  # The deadline is longer than the 60 s that the caller waits, so a request
  # held until then gets no answer.
  expect "$mode: what may not is refused before its deadline" "503 not_run" \
    "$(first_attempt e1 "$mode-n" false 300000 10)"
  expect "$mode: a repeat is not called not run" "503 unknown" \
    "$(call e1 "$mode-n" false 300000 10)"
  expect "$mode: no job is accepted" "503 not_run" "$(job "$mode-job")"
  expect "$mode: and says when to come back" 1 \
    "$(grep -ci '^retry-after: [1-9]' "$work/head")"
  platform_fault '{"mode":"ok"}'
  wait_for "$HANG" table_down false
  expect "$mode: it runs afterwards" "200 done" \
    "$(call e1 "$mode-n" false 300000 10)"
  expect "$mode: once" 1 "$(count_starts "$mode-n")"
done

# The open connections to the table get no more answers, new ones work.
platform_fault '{"mode":"silent"}'
first_attempt e1 stale-n false 300000 10 > /dev/null
wait_for "$HANG" is_done stale-n
expect "silent connections: it is done" "200 done" \
  "$(call e1 stale-n false 300000 10)"
expect "silent connections: once" 1 "$(count_starts stale-n)"
exit "$failed"
