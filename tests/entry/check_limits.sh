#!/usr/bin/env bash
# The limits of a client account must hold over several entry VMs, and a full
# VM must refuse without claiming more than it knows.  Bad input must leave no
# row behind.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

start_all 6 2 # a third VM, small, gets a third of the slots later
count_rows ()
{
  get "${ADDR[platform]}" "/v1/rows/$1?since=0" | jq '.rows|length'
}
http_status () { curl -s -o /dev/null -w '%{http_code}' "$@"; }
# submit ENTRY KEY: submits a job; prints the HTTP status and the state.
submit ()
{
  curl -s -m 20 -o "$work/job" -w '%{http_code} ' \
    -H "Authorization: Bearer $DESK" -H "Idempotency-Key: $2" \
    -H "Idempotency-Attempt: 1" "http://${ADDR[$1]}/v1/jobs" \
    -d '{"class":"bulk","tasks":1,"per_task":1,"declared_ms":10,
         "repeatable":true,"preemptible":true,"payload":{}}'
  jq -r '.state' "$work/job"
}

before=$(count_rows requests)
url=http://${ADDR[e1]}
key="Authorization: Bearer $DESK"
idempotency_key="Idempotency-Key: bad"
head -c 70000 /dev/zero | tr '\0' ' ' > "$work/large"
expect "broken JSON" 400 \
  "$(http_status -H "$key" -H "$idempotency_key" -d '{' "$url/v1/calls")"
expect "unknown field" 400 "$(http_status -H "$key" -H "$idempotency_key" \
  -d '{"kind":"a","repeatable":false,"deadline_ms":1,"payload":{},"x":1}' \
  "$url/v1/calls")"
expect "missing idempotency key" 400 "$(http_status -H "$key" \
  -d '{"kind":"a","repeatable":false,"deadline_ms":1,"payload":{}}' \
  "$url/v1/calls")"
expect "oversized body" 413 \
  "$(http_status -H "$key" -H "$idempotency_key" -d "@$work/large" "$url/v1/calls")"
expect "oversized body without an API key" 413 \
  "$(http_status -d "@$work/large" "$url/v1/calls")"
expect "missing API key" 401 "$(http_status "$url/v1/jobs")"
expect "wrong API key" 401 \
  "$(http_status -H 'Authorization: Bearer x' "$url/v1/jobs")"
expect "a caller's key for an operator's path" 403 \
  "$(http_status -H "$key" "$url/v1/plans")"
expect "unknown path" 404 "$(http_status -H "$key" "$url/v2")"
expect "wrong method" 405 "$(http_status -X PATCH -H "$key" "$url/v1/jobs")"
expect "refused requests leave no row" "$before" "$(count_rows requests)"

put_list e1 allowances 1 "$(allowances 1000 4 | sed 's/:100}/:2}/')" > /dev/null
version_2_is ()
{
  [ "$(operator "$1" /v1/status | jq .allowances_version)" = 2 ]
}
wait_for "$HANG" version_2_is e1
wait_for "$HANG" version_2_is e2
for i in 1 2 3 4 5 6 7 8; do start_held_call "e$((i % 2 + 1))" "busy$i"; done
all_settled () # each held call was refused or runs
{
  local i
  for i in 1 2 3 4 5 6 7 8; do
    [ -s "$work/busy$i" ] || started_once "busy$i" || return 1
  done
}
is_refused () # ENTRY: a further call is refused
{
  [ "$(first_attempt "$1" "more$1$((tries++))" true 5000 10)" = "429 not_run" ]
}
tries=0
expect "all eight are refused or run" 0 \
  "$(wait_for "$HANG" all_settled; echo $?)"
# Each VM learns the other's usage from its messages; no call ends meanwhile.
expect "the limit holds over both VMs" "0 0" \
  "$(wait_for "$HANG" is_refused e1; echo $?) $(wait_for "$HANG" \
    is_refused e2; echo $?)"
release_held_calls
# The limit is 4.  A burst that starts before the VMs know each other's usage
# may exceed it up to the bound in docs/REQUESTS.md.
n=$(cat "$work"/busy? | grep -c '200 done')
expect "a burst stays within the documented bound" 1 \
  "$((n >= 4 && n < 12))"
expect "the remaining calls are refused as not run" $((8 - n)) \
  "$(cat "$work"/busy? | grep -c '429 not_run')"
expect "calls are served after the burst" "200 done" \
  "$(first_attempt e1 after true 5000 10)"
expect "two jobs may be queued" "202 queued 202 queued" \
  "$(submit e1 q1) $(submit e1 q2)"
expect "a third job is refused" "429 not_run" "$(submit e1 q3)"
queue_is_full () { [ "$(submit e2 q4)" = "429 not_run" ]; }
expect "the other VM refuses jobs too" 0 \
  "$(wait_for 30 queue_is_full; echo $?)"

start_entry small d1 --max-requests 8
wait_for "$HANG" has_lists small 6
put_list e1 allowances 2 "$(allowances)" > /dev/null
version_3_is_at_small ()
{
  [ "$(operator small /v1/status | jq .allowances_version)" = 3 ]
}
wait_for "$HANG" version_3_is_at_small
for i in 1 2 3 4 5 6 7 8; do
  start_held_call small "full$i"
  expect "call $i of 8 runs" 0 \
    "$(wait_for "$HANG" started_once "full$i"; echo $?)"
done
expect "a full VM refuses a first attempt as not run" "503 not_run" \
  "$(first_attempt small over true 5000 10)"
expect "a full VM does not know whether an earlier attempt ran" "503 unknown" \
  "$(call small over true 5000 10)"
release_held_calls
expect "the calls that the full VM had accepted are done" "200 done" \
  "$(sort -u "$work"/full?)"
exit "$failed"
