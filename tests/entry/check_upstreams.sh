#!/usr/bin/env bash
# Workers leave, die, stop answering or join while calls go on.  Guards against
# calls that fail although another worker could run them, that run twice, or
# that are held when no worker is left.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

start_all 3 1 --attempt-timeout-ms 800
# burst TAG COUNT REPEATABLE: sends COUNT calls; prints the distinct results.
burst ()
{
  local i
  for ((i = 1; i <= $2; i++)); do
    first_attempt e1 "$1$i" "$3" 6000 5
  done | sort -u | xargs
}
count_starts_at () # WORKER TAG_PREFIX
{
  get "${ADDR[$1]}" /v1/admin/journal \
    | jq "[.entries[]|select(.tag//\"\"|startswith(\"$2\"))]|length"
}
set_state () # WORKER STATE
{
  curl -s -o /dev/null -X PUT "http://${ADDR[platform]}/v1/admin/vms/$1" \
    -d "{\"role\":\"worker\",\"address\":\"${ADDR[$1]}\",\"rack\":\"r1\",
         \"domain\":\"d1\",\"state\":\"$2\",\"accelerators\":8,\"slots\":8,
         \"connections\":60}"
}

set_state w1 leaving
seen_leaving () # WORKER
{
  operator e1 /v1/status \
    | jq -e ".upstreams|any(.id==\"$1\" and .leaving)"
}
expect "the entry VM learns that the worker leaves" 0 \
  "$(wait_for "$HANG" seen_leaving w1; echo $?)"
expect "calls go on while a worker leaves" "200 done" "$(burst left 10 false)"
expect "the leaving worker gets no call" 0 "$(count_starts_at w1 left)"
set_state w1 live
used_again ()
{
  burst back 6 true > /dev/null
  [ "$(count_starts_at w1 back)" -gt 0 ]
}
expect "the worker is used again once it is live" 0 \
  "$(wait_for "$HANG" used_again; echo $?)"

worker_fault w2 '{"mode":"silent"}'
expect "silent connections do not fail repeatable calls" "200 done" \
  "$(burst silent 10 true)"
worker_fault w2 '{"mode":"ok"}'
used_after_silence ()
{
  burst u 4 true > /dev/null
  [ "$(count_starts_at w2 u)" -gt 0 ]
}
expect "the worker is used again through new connections" 0 \
  "$(wait_for "$HANG" used_after_silence; echo $?)"

crash w3
expect "calls for a dead worker run elsewhere" "200 done" \
  "$(burst dead 10 false)"
expect "each of them runs once" 10 \
  "$(($(count_starts_at w1 dead) + $(count_starts_at w2 dead)))"

start w4 skr-worker --id w4 --domain d1 \
  --platform "http://${ADDR[platform]}"
new_worker_used ()
{
  burst j 4 true > /dev/null
  [ "$(count_starts_at w4 j)" -gt 0 ]
}
expect "a worker that joins is used" 0 \
  "$(wait_for "$HANG" new_worker_used; echo $?)"
for w in w1 w2 w4; do
  crash "$w"
  curl -s -o /dev/null -X DELETE "http://${ADDR[platform]}/v1/admin/vms/$w"
done
curl -s -o /dev/null -X DELETE "http://${ADDR[platform]}/v1/admin/vms/w3"
fleet_empty () { fleet_seen e1 0; }
wait_for "$HANG" fleet_empty
# The deadline is longer than the 60 s that the caller waits, so a request held
# until then gets no answer.
expect "without workers a call is refused before its deadline" "503 not_run" \
  "$(first_attempt e1 none false 300000 5)"
start w5 skr-worker --id w5 --domain d1 \
  --platform "http://${ADDR[platform]}"
wait_for "$HANG" fleet_seen e1 1
expect "the same attempt gets the same answer" "503 not_run" \
  "$(first_attempt e1 none false 300000 5)"
expect "a later attempt runs" "200 done" \
  "$(call e1 none false 300000 5 -H 'Idempotency-Attempt: 2')"
expect "the later attempt runs once" 1 "$(count_starts_at w5 none)"
exit "$failed"
