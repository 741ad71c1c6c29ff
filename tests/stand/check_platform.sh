#!/usr/bin/env bash
# The stand-in for the platform: transactions, scans, faults, restore.
cd "$(dirname "$0")/../.." || exit 1
. tests/stand/lib.sh

start platform skr-platform
P=${ADDR[platform]}
txn () { post "$P" /v1/txn "$1"; }
status () { cat "$work/status"; }
faults () { post "$P" /v1/admin/faults "$1" > /dev/null; }
put () { printf '{"op":"put","table":"t","key":"%s","value":{"n":%s}}' "$@"; }
absent () { printf '{"table":"t","key":"%s","version":0}' "$1"; }

expect "revision rises" '{"rev":1}' \
  "$(txn "{\"checks\":[$(absent a)],\"ops\":[$(put a 1),$(put b 1)]}")"
txn "{\"checks\":[$(absent c),$(absent a)],\"ops\":[$(put c 1)]}" > /dev/null
expect "one failed check refuses the transaction" 409 "$(status)"
expect "the answer has the conflicting row" 1 \
  "$(jq '.conflicts[0].version' "$work/body")"
get "$P" /v1/rows/t/c > "$work/c"
expect "a refused transaction changes nothing" '{"error":"no such row"}' \
  "$(cat "$work/c")"
txn "{\"ops\":[$(put c 1),{\"op\":\"put\",\"table\":\"t\",\"key\":\"d\"}]}" \
  > /dev/null
expect "a malformed op refuses the transaction" "400 1" \
  "$(status) $(get "$P" /v1/rows/t | jq .rev)"
txn "{\"ops\":[$(put e 1)],\"more\":1}" > /dev/null
expect "an unknown field is refused" 400 "$(status)"

# Of concurrent transactions with the same check, exactly one is applied.
racers=()
for i in 1 2 3 4 5 6 7 8; do
  curl -s -o /dev/null -w '%{http_code}\n' -d \
    "{\"checks\":[$(absent race)],\"ops\":[$(put race $i)]}" \
    "http://$P/v1/txn" > "$work/race.$i" &
  racers+=($!)
done
wait "${racers[@]}"
expect "one of eight concurrent transactions is applied" 1 \
  "$(cat "$work"/race.* | grep -c 200)"

faults '{"mode":"lost"}'
txn "{\"checks\":[$(absent lost)],\"ops\":[$(put lost 7)]}" > /dev/null
expect "a lost answer closes the connection" 52 $?
faults '{"mode":"ok"}'
expect "a write with a lost answer is applied" 7 "$(get "$P" /v1/rows/t/lost \
  | jq .value.n)"

faults '{"mode":"down"}'
txn "{\"ops\":[$(put down 1)]}" > /dev/null
expect "the mode down refuses writes" 503 "$(status)"
faults '{"mode":"ok"}'
expect "a write refused in the mode down is not applied" \
  '{"error":"no such row"}' \
  "$(get "$P" /v1/rows/t/down)"

rev=$(get "$P" /v1/rows/t | jq .rev)
txn '{"ops":[{"op":"delete","table":"t","key":"b"}]}' > /dev/null
expect "a scan with since has the deleted row" b \
  "$(get "$P" "/v1/rows/t?since=$rev" | jq -r '.rows[]|select(.deleted).key')"
expect "a scan without since does not have it" a,lost,race \
  "$(get "$P" /v1/rows/t | jq -r '[.rows[].key]|join(",")')"
expect "a limited scan continues after a key" 'lost true' \
  "$(get "$P" '/v1/rows/t?after=a&limit=1' | jq -r '"\(.rows[0].key) \(.more)"')"

post "$P" /v1/admin/snapshot '' > /dev/null
txn "{\"ops\":[$(put a 2)]}" > /dev/null
post "$P" /v1/admin/restore '' > /dev/null
expect "restore returns to the row of the snapshot" 1 \
  "$(get "$P" /v1/rows/t/a | jq .value.n)"

# In the mode silent, a request on the open connection gets no answer, but curl
# opens a new connection, which works.
exec 3<> "/dev/tcp/${P%:*}/${P#*:}"
printf 'GET /v1/vms HTTP/1.1\r\nHost: p\r\n\r\n' >&3
read -r -t 120 line <&3
expect "an open connection is answered" "HTTP/1.1 200 OK" "${line%$'\r'}"
faults '{"mode":"silent"}'
printf 'GET /v1/vms HTTP/1.1\r\nHost: p\r\n\r\n' >&3
counter_is () { [ "$(get "$P" /v1/admin/counters | jq ".$1")" = "$2" ]; }
wait_for "$HANG" counter_is silenced 1
expect "a request on a silent connection is not answered" 0 "$?"
expect "a new connection is answered" '{"vms":[]}' "$(get "$P" /v1/vms)"

faults '{"mode":"hold"}'
# Not by txn, which keeps its answer in the same file as faults below.
curl -s -m 120 -d "{\"ops\":[$(put held 1)]}" "http://$P/v1/txn" \
  > "$work/held" &
holder=$!
wait_for "$HANG" counter_is held 1
expect "a held write is applied" 1 "$(get "$P" /v1/rows/t/held | jq .value.n)"
expect "a held write is not answered" "" "$(cat "$work/held")"
faults '{"mode":"ok"}'
wait "$holder"
expect "a held write is answered after the mode hold" true \
  "$(jq '.rev > 0' "$work/held")"

faults '{"mode":"hold"}'
txn "{\"ops\":[$(put gone 1)]}" > /dev/null &
holder=$!
wait_for "$HANG" counter_is held 1
faults '{"mode":"down"}'
wait "$holder"
expect "the mode down after hold drops the held answer" 52 "$?"
faults '{"mode":"ok"}'

# A clean stop closes the silent connection, so that everything that was sent
# on it can be read.
stop platform
expect "stops cleanly" 0 "$STATUS"
expect "nothing was sent on the silent connection" 0 \
  "$(timeout 120 cat <&3 | grep -c ^HTTP)"
exec 3>&-
start limited skr-platform --writes-per-second 1
# over_rate: sends twelve writes on one connection; succeeds if one was refused.
# It is repeated, since a slow machine may need a second for each write and so
# stay within the rate.
over_rate ()
{
  curl -s -o /dev/null -w '%{http_code}\n' -d "{\"ops\":[$(put x 1)]}" \
    "http://${ADDR[limited]}/v1/txn?n=[1-12]" | grep 429
}
wait_for "$HANG" over_rate
expect "writes over the rate get 429" 0 "$?"
exit "$failed"
