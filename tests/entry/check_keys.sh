#!/bin/bash
# Rows of keys go once they are old; a key that comes back then is a new one.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

# put_key ACCOUNT KEY STATE AT JOB
put_key ()
{
  post "${ADDR[platform]}" /v1/txn "{\"checks\":[],\"ops\":[{\"op\":\"put\",
    \"table\":\"requests\",\"key\":\"$1/$2\",\"value\":{\"kind\":\"job\",
    \"body_digest\":\"$digest\",\"token\":\"t\",\"state\":\"$3\",
    \"job\":\"$5\",\"entry\":\"e1\",\"at\":$4}}]}" > /dev/null
}

keys ()
{
  curl -s "http://${ADDR[platform]}/v1/rows/requests?limit=1000" \
    | jq '.rows|length'
}
keys_are () { [ "$(keys)" = "$1" ]; }

# submit KEY: prints the status.
submit ()
{
  curl -s -m 10 -o "$work/body" -w '%{http_code}' -d "$body" \
    -H "Authorization: Bearer $DESK" -H "Idempotency-Key: $1" \
    "http://${ADDR[e1]}/v1/jobs"
}

body='{"class":"bulk","tasks":1,"per_task":1,"declared_ms":1000,
  "repeatable":false,"preemptible":true,"payload":{}}'
start_all 3 2
expect "a new key" 202 "$(submit first)"
job=$(jq -r .job "$work/body")
digest=$(curl -s "http://${ADDR[platform]}/v1/rows/requests/desk%2Ffirst" \
  | jq -r .value.body_digest)
expect "its job by the same key" "202 $job" \
  "$(submit first) $(jq -r .job "$work/body")"

now=$(date +%s%3N)
put_key desk lost done "$now" 'd1~0123456789abcdef'
expect "the row of a key's job is gone" 404 "$(submit lost)"
expect "and this is said" true \
  "$(jq '.detail|contains ("no longer kept")' "$work/body")"

for i in $(seq 40); do
  put_key desk "old$i" done 1 'd1~0123456789abcdef'
  put_key agency "old$i" unknown 1 'd1~0123456789abcdef'
done
put_key agency young claimed "$now" 'd1~0123456789abcdef'
wait_for "$HANG" keys_are 3
expect "old rows are gone" 3 "$(keys)"
expect "a key that comes back after that is a new one" 202 "$(submit old1)"
expect "the young one is known" "202 $job" \
  "$(submit first) $(jq -r .job "$work/body")"
exit "$failed"
