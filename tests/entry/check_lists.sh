#!/usr/bin/env bash
# Two operators change a list at once, the table is restored to an older state,
# and the reply to a change is lost.  Guards against lost updates and against
# an older list that comes into force again.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

start_all 3 2
allowances_version () { operator "$1" /v1/status | jq .allowances_version; }
version_is () { [ "$(allowances_version "$1")" = "$2" ]; }

post "${ADDR[platform]}" /v1/admin/snapshot '{}' > /dev/null
put_list e1 allowances 1 "$(allowances 500 50)" > "$work/a" &
a=$!
put_list e2 allowances 1 "$(allowances 600 60)" > "$work/b"
wait "$a"
expect "one of two concurrent changes is made" "200 409" \
  "$(cat "$work/a" <(echo) "$work/b" | sort | xargs)"
expect "a conflict shows the current version and the own one" "409 2 1" \
  "$(put_list e1 allowances 1 "$(allowances 700 70)") $(jq -r \
    '"\(.current.version) \(.yours.version)"' "$work/body")"
for e in e1 e2; do
  expect "the change is in force on $e" 0 \
    "$(wait_for "$HANG" version_is $e 2; echo $?)"
done
expect "guarantees that exceed the fleet are refused" 422 \
  "$(put_list e1 allowances 2 "$(allowances 1 1 | sed 's/"count":1/"count":999/')")"
expect "a change without a version is refused" 428 \
  "$(curl -s -o /dev/null -w '%{http_code}' -X PUT -d '[]' \
    -H "Authorization: Bearer $OPERATOR" "http://${ADDR[e1]}/v1/plans")"

# Further writes make the revisions of the restored table soon exceed the old
# ones.
post "${ADDR[platform]}" /v1/admin/restore '{}' > /dev/null
for ((i = 0; i < 30; i++)); do
  post "${ADDR[platform]}" /v1/txn "{\"checks\":[],\"ops\":[{\"op\":\"put\",
    \"table\":\"other\",\"key\":\"k$i\",\"value\":{}}]}" > /dev/null
done
sleep 2
expect "a restored table does not undo the change" "2 2" \
  "$(allowances_version e1) $(allowances_version e2)"
start_entry e3 d3
expect "a new VM gets the newer list" 0 \
  "$(wait_for "$HANG" version_is e3 2; echo $?)"

platform_fault '{"mode":"lost","lost_percent":100}'
expect "a change is accepted although its reply is lost" 200 \
  "$(put_list e1 allowances 2 "$(allowances 800 80)")"
platform_fault '{"mode":"ok"}'
expect "the change with the lost reply is in force" 0 \
  "$(wait_for "$HANG" version_is e2 3; echo $?)"
exit "$failed"
