#!/usr/bin/env bash
# Late answers are kept, refusing and leaving workers are passed by, and a
# stop cuts no request.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

start_all 2 2 --drain-ms 8000
state_is () { [ "$(call_state e2 "$1")" = "$2" ]; }
leaving () { [ "$(get "${ADDR[e1]}" /healthz)" = '{"state":"leaving"}' ]; }

worker_fault w1 '{"mode":"late","late_ms":6000}'
worker_fault w2 '{"mode":"late","late_ms":6000}'
expect "an answer past the deadline" "504 unknown" \
  "$(first e1 late false 3000 10)"
expect "is kept for the key" 0 "$(wait_for "$HANG" state_is late done; echo $?)"
expect "on every VM" "200 done" "$(call e2 late false 3000 10)"
expect "and it ran once" 1 "$(starts late)"
worker_fault w1 '{"mode":"ok"}'
worker_fault w2 '{"mode":"ok"}'

worker_fault w1 '{"mode":"fail_all"}'
for i in 1 2 3 4 5 6 7 8; do first e1 "fail$i" true 5000 10; done \
  > "$work/fails"
expect "what may be repeated goes elsewhere" "200 done" \
  "$(sort -u "$work/fails")"
worker_fault w1 '{"mode":"ok"}'

post "${ADDR[w1]}" /v1/admin/leave '{}' > /dev/null
for i in 1 2 3 4 5 6; do first e1 "leave$i" false 5000 10; done > "$work/leave"
expect "a leaving worker's refusal is a proof" "200 done" \
  "$(sort -u "$work/leave")"
expect "it ran nothing of it" 0 "$(get "${ADDR[w1]}" /v1/admin/journal \
  | jq '[.entries[]|select(.tag//""|startswith("leave"))]|length')"

for i in 1 2 3 4; do
  hold e1 "stop$i"
  expect "call $i runs" 0 "$(wait_for "$HANG" started "stop$i"; echo $?)"
done
kill -TERM "${PID[e1]}"
expect "the VM is leaving" 0 "$(wait_for "$HANG" leaving; echo $?)"
expect "a leaving VM still serves" "200 done" "$(first e1 drain false 20000 10)"
release_all
wait "${PID[e1]}"
expect "a stop ends with 0" 0 $?
unset "PID[e1]"
expect "no request was cut" "200 done" "$(sort -u "$work"/stop[1-4])"
expect "and the log says so" 1 "$(grep -c 'stopped cut=0' "$work/e1.err")"
exit "$failed"
