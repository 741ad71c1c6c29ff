#!/usr/bin/env bash
# The platform's stand-in: transactions, scans, faults, restore.
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
expect "one failed check refuses the whole" 409 "$(status)"
expect "and shows the row" 1 "$(jq '.conflicts[0].version' "$work/body")"
get "$P" /v1/rows/t/c > "$work/c"
expect "nothing of it was applied" '{"error":"no such row"}' \
  "$(cat "$work/c")"
txn "{\"ops\":[$(put c 1),{\"op\":\"put\",\"table\":\"t\",\"key\":\"d\"}]}" \
  > /dev/null
expect "a malformed op refuses the whole" "400 1" \
  "$(status) $(get "$P" /v1/rows/t | jq .rev)"
txn "{\"ops\":[$(put e 1)],\"more\":1}" > /dev/null
expect "an unknown field is refused" 400 "$(status)"

# Of racing transactions with the same check, exactly one is applied.
racers=()
for i in 1 2 3 4 5 6 7 8; do
  curl -s -o /dev/null -w '%{http_code}\n' -d \
    "{\"checks\":[$(absent race)],\"ops\":[$(put race $i)]}" \
    "http://$P/v1/txn" > "$work/race.$i" &
  racers+=($!)
done
wait "${racers[@]}"
expect "one of eight racers wins" 1 "$(cat "$work"/race.* | grep -c 200)"

faults '{"mode":"lost"}'
txn "{\"checks\":[$(absent lost)],\"ops\":[$(put lost 7)]}" > /dev/null
expect "a lost answer closes the connection" 52 $?
faults '{"mode":"ok"}'
expect "yet the write took effect" 7 "$(get "$P" /v1/rows/t/lost \
  | jq .value.n)"

faults '{"mode":"down"}'
txn "{\"ops\":[$(put down 1)]}" > /dev/null
expect "down refuses" 503 "$(status)"
faults '{"mode":"ok"}'
expect "and applies nothing" '{"error":"no such row"}' \
  "$(get "$P" /v1/rows/t/down)"

rev=$(get "$P" /v1/rows/t | jq .rev)
txn '{"ops":[{"op":"delete","table":"t","key":"b"}]}' > /dev/null
expect "a deleted row is shown to who asks since" b \
  "$(get "$P" "/v1/rows/t?since=$rev" | jq -r '.rows[]|select(.deleted).key')"
expect "and to nobody else" a,lost,race \
  "$(get "$P" /v1/rows/t | jq -r '[.rows[].key]|join(",")')"
expect "pages follow each other" 'lost true' \
  "$(get "$P" '/v1/rows/t?after=a&limit=1' | jq -r '"\(.rows[0].key) \(.more)"')"

post "$P" /v1/admin/snapshot '' > /dev/null
txn "{\"ops\":[$(put a 2)]}" > /dev/null
post "$P" /v1/admin/restore '' > /dev/null
expect "restore brings the old row back" 1 \
  "$(get "$P" /v1/rows/t/a | jq .value.n)"

# The request on the open connection goes unanswered; curl then dials anew.
exec 3<> "/dev/tcp/${P%:*}/${P#*:}"
printf 'GET /v1/vms HTTP/1.1\r\nHost: p\r\n\r\n' >&3
read -r -t 120 line <&3
expect "an open connection is answered" "HTTP/1.1 200 OK" "${line%$'\r'}"
faults '{"mode":"silent"}'
printf 'GET /v1/vms HTTP/1.1\r\nHost: p\r\n\r\n' >&3
counter_is () { [ "$(get "$P" /v1/admin/counters | jq ".$1")" = "$2" ]; }
wait_for "$HANG" counter_is silenced 1
expect "a request there is met with silence" 0 "$?"
expect "while a new one is answered" '{"vms":[]}' "$(get "$P" /v1/vms)"

faults '{"mode":"hold"}'
txn "{\"ops\":[$(put held 1)]}" > "$work/held" &
holder=$!
wait_for "$HANG" counter_is held 1
expect "a held write is applied" 1 "$(get "$P" /v1/rows/t/held | jq .value.n)"
expect "and has no answer" "" "$(cat "$work/held")"
faults '{"mode":"ok"}'
wait "$holder"
expect "until it is released" true "$(jq '.rev > 0' "$work/held")"

faults '{"mode":"hold"}'
txn "{\"ops\":[$(put gone 1)]}" > /dev/null &
holder=$!
wait_for "$HANG" counter_is held 1
faults '{"mode":"down"}'
wait "$holder"
expect "one that is down then loses the answer" 52 "$?"
faults '{"mode":"ok"}'

# A clean stop ends the silent connection: all that ever came over it is read.
stop platform
expect "stops cleanly" 0 "$STATUS"
expect "nothing came over the silent connection" 0 \
  "$(timeout 120 cat <&3 | grep -c ^HTTP)"
exec 3>&-
start limited skr-platform --writes-per-second 1
# Twelve in a row over one connection; a machine that takes a second for each
# gets as many turns as it needs.
over_rate ()
{
  curl -s -o /dev/null -w '%{http_code}\n' -d "{\"ops\":[$(put x 1)]}" \
    "http://${ADDR[limited]}/v1/txn?n=[1-12]" | grep 429
}
wait_for "$HANG" over_rate
expect "writes over the rate get 429" 0 "$?"
exit "$failed"
