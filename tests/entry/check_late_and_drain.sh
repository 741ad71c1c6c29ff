#!/usr/bin/env bash
# Guards against the loss of an answer that arrives after the deadline, against
# failed calls when one worker refuses or leaves, and against requests that are
# cut off when an entry VM stops.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

start_all 2 2 --drain-ms 8000
state_is () { [ "$(call_state e2 "$1")" = "$2" ]; }
is_leaving () { [ "$(get "${ADDR[e1]}" /healthz)" = '{"state":"leaving"}' ]; }

worker_fault w1 '{"mode":"late","late_ms":6000}'
worker_fault w2 '{"mode":"late","late_ms":6000}'
expect "unknown when the deadline passes first" "504 unknown" \
  "$(first_attempt e1 late false 3000 10)"
expect "the late answer is kept for the key" 0 \
  "$(wait_for "$HANG" state_is late done; echo $?)"
expect "another VM returns the late answer" "200 done" \
  "$(call e2 late false 3000 10)"
expect "the call ran once" 1 "$(count_starts late)"
worker_fault w1 '{"mode":"ok"}'
worker_fault w2 '{"mode":"ok"}'

worker_fault w1 '{"mode":"fail_all"}'
for i in 1 2 3 4 5 6 7 8; do
  first_attempt e1 "fail$i" true 5000 10
done > "$work/fails"
expect "a failed call that may be repeated runs elsewhere" "200 done" \
  "$(sort -u "$work/fails")"
worker_fault w1 '{"mode":"ok"}'

post "${ADDR[w1]}" /v1/admin/leave '{}' > /dev/null
for i in 1 2 3 4 5 6; do
  first_attempt e1 "leave$i" false 5000 10
done > "$work/leave"
expect "a call that a leaving worker refuses runs elsewhere" "200 done" \
  "$(sort -u "$work/leave")"
expect "the leaving worker ran none of them" 0 \
  "$(get "${ADDR[w1]}" /v1/admin/journal \
  | jq '[.entries[]|select(.tag//""|startswith("leave"))]|length')"

for i in 1 2 3 4; do
  start_held_call e1 "stop$i"
  expect "call $i runs" 0 "$(wait_for "$HANG" started_once "stop$i"; echo $?)"
done
kill -TERM "${PID[e1]}"
expect "the VM is leaving" 0 "$(wait_for "$HANG" is_leaving; echo $?)"
expect "a leaving VM still serves" "200 done" \
  "$(first_attempt e1 drain false 20000 10)"
release_held_calls
wait "${PID[e1]}"
expect "the VM exits with status 0" 0 $?
unset "PID[e1]"
expect "no request was cut off" "200 done" "$(sort -u "$work"/stop[1-4])"
expect "the log counts no request as cut" 1 \
  "$(grep -c 'stopped cut=0' "$work/e1.err")"
exit "$failed"
