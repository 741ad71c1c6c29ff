#!/usr/bin/env bash
# The stand-in for a worker: gangs, epochs, leases, idempotent orders, faults.
cd "$(dirname "$0")/../.." || exit 1
. tests/stand/lib.sh

start platform skr-platform
start w skr-worker --id w1 --platform "http://${ADDR[platform]}" \
  --checkpoint-ms 20 --hold-file "$work/hold"
W=${ADDR[w]}
status () { cat "$work/status"; }

# order VERB EPOCH JOB [MORE]: sends an order; MORE are further JSON members.
order ()
{
  post "$W" "/v1/tasks$1" "{\"cell\":\"c\",\"epoch\":$2,\"job\":\"$3\",
    \"attempt\":1${4-}}"
}
# hold EPOCH JOB ACCELERATORS LEASE_MS RUN_MS: orders a gang of one task.
hold ()
{
  order '' "$1" "$2" ",\"tasks\":[{\"task\":0,\"accelerators\":[$3]}],
    \"lease_ms\":$4,\"payload\":{\"fake\":{\"run_ms\":$5,\"tag\":\"$2\"}}"
}
run ()
{
  post "$W" /v1/tasks/run "{\"cell\":\"c\",\"epoch\":$1,
    \"jobs\":[{\"job\":\"$2\",\"attempt\":1}]}"
}
state ()
{
  get "$W" '/v1/tasks?cell=c' \
    | jq -r "[.tasks[]|select(.job==\"$1\").state]|join(\",\")"
}
state_is () { [ "$(state "$1")" = "$2" ]; }
starts ()
{
  get "$W" /v1/admin/journal | jq "[.entries[]|select(.tag==\"$1\")]|length"
}

expect "the worker registers with the platform" w1 \
  "$(get "${ADDR[platform]}" /v1/vms \
  | jq -r '.vms[0].id')"

hold 5 a 0,1 600000 1 > /dev/null
expect "a held gang does not run" "held 0" "$(state a) $(starts a)"
hold 5 a 0,1 600000 1 > /dev/null
expect "repeating an order changes nothing" "200 held" "$(status) $(state a)"
hold 5 b 1,2 600000 1 > /dev/null
expect "an accelerator in use is refused" "429 " "$(status) $(state b)"
hold 4 b 4 600000 1 > /dev/null
expect "a lower epoch is refused" '409 {"error":"epoch","epoch":5}' \
  "$(status) $(cat "$work/body")"
expect "an order with a lower epoch has no effect" "" "$(state b)"
run 4 a > /dev/null
expect "a lower epoch is refused for run, too" "409 held" \
  "$(status) $(state a)"
run 5 a > /dev/null
wait_for "$HANG" state_is a done
expect "a running gang finishes" "done 1" "$(state a) $(starts a)"
run 5 a > /dev/null
expect "repeating run starts nothing" 1 "$(starts a)"
post "$W" /v1/tasks/ack \
  '{"cell":"c","epoch":5,"jobs":[{"job":"a","attempt":1}]}' > /dev/null
expect "an acknowledged gang is removed" "" "$(state a)"

hold 5 l 0 600000 600000 > /dev/null
hold 5 h 1 600000 600000 > /dev/null
run 5 l > /dev/null
expect "a renewal applies to all gangs of the cell" '{"renewed":2}' \
  "$(post "$W" /v1/leases '{"cell":"c","epoch":5,"lease_ms":1}')"
wait_for "$HANG" state_is l checkpointed
expect "an expired lease checkpoints a running gang" checkpointed "$(state l)"
wait_for "$HANG" state_is h stopped
expect "an expired lease stops a held gang" "stopped 0" \
  "$(state h) $(starts h)"

hold 5 m 0 600000 600000 > /dev/null
run 5 m > /dev/null
order /checkpoint 5 m > /dev/null
wait_for "$HANG" state_is m checkpointed
expect "a checkpoint frees the accelerator" "checkpointed 200" \
  "$(state m) $(hold 6 n 0 600000 1 > /dev/null; status)"
order /stop 6 n > /dev/null
expect "stop takes effect immediately" stopped "$(state n)"

# The expiry of a lease and the end of a run both take effect in a tick.  A tick
# processes o before p, so the one that has stopped p has left o running.
touch "$work/hold"
hold 6 o 2 600000 1 > /dev/null
run 6 o > /dev/null
hold 6 p 3 1 600000 > /dev/null
wait_for "$HANG" state_is p stopped
expect "no task finishes while the hold file exists" running "$(state o)"
rm "$work/hold"
wait_for "$HANG" state_is o done
expect "a task finishes once the hold file is removed" done "$(state o)"

call ()
{
  post "$W" /v1/calls \
    "{\"account\":\"x\",\"kind\":\"k\",\"payload\":{\"fake\":$1}}" \
    -H 'X-Request-Id: r'
}
expect "a call echoes its request" "r x" "$(call '{"run_ms":1,"tag":"c"}' \
  | jq -r '"\(.answer.request) \(.answer.account)"')"
post "$W" /v1/admin/faults '{"mode":"fail_all"}' > /dev/null
call '{"run_ms":1}' > /dev/null
expect "fail_all fails calls" 500 "$(status)"
post "$W" /v1/admin/faults '{"mode":"ok"}' > /dev/null
post "$W" /v1/admin/leave '' > /dev/null
call '{"run_ms":1,"tag":"late"}' > /dev/null
expect "a leaving worker starts nothing" "503 0" "$(status) $(starts late)"
stop w
expect "stops cleanly" 0 "$STATUS"
expect "a stopped worker is no longer listed" 0 \
  "$(get "${ADDR[platform]}" /v1/vms | jq '.vms|length')"
exit "$failed"
