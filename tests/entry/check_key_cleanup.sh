#!/bin/bash
# Rows of idempotency keys must be deleted once they have expired, and only
# then.  Without the deletion the table grows without bound; a row deleted too
# early lets a repeated request run twice.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

# put_key ACCOUNT KEY STATE AT JOB: writes the row of a key, last written at AT
# (ms since 1970).
put_key ()
{
  post "${ADDR[platform]}" /v1/txn "{\"checks\":[],\"ops\":[{\"op\":\"put\",
    \"table\":\"requests\",\"key\":\"$1/$2\",\"value\":{\"kind\":\"job\",
    \"body_digest\":\"$digest\",\"token\":\"t\",\"state\":\"$3\",
    \"job\":\"$5\",\"entry\":\"e1\",\"at\":$4}}]}" > /dev/null
}

# count_keys: prints the number of key rows.
count_keys ()
{
  curl -s "http://${ADDR[platform]}/v1/rows/requests?limit=1000" \
    | jq '.rows|length'
}
keys_are () { [ "$(count_keys)" = "$1" ]; }

# submit KEY: submits a job and prints the HTTP status; the body is in
# $work/body.
submit ()
{
  curl -s -m 10 -o "$work/body" -w '%{http_code}' -d "$body" \
    -H "Authorization: Bearer $DESK" -H "Idempotency-Key: $1" \
    "http://${ADDR[e1]}/v1/jobs"
}

body='{"class":"bulk","tasks":1,"per_task":1,"declared_ms":1000,
  "repeatable":false,"preemptible":true,"payload":{}}'
start_all 3 2
expect "a job with a new key is accepted" 202 "$(submit first)"
job=$(jq -r .job "$work/body")
digest=$(curl -s "http://${ADDR[platform]}/v1/rows/requests/desk%2Ffirst" \
  | jq -r .value.body_digest)
expect "the same key returns the same job" "202 $job" \
  "$(submit first) $(jq -r .job "$work/body")"

now=$(date +%s%3N)
put_key desk lost done "$now" 'd1~0123456789abcdef'
expect "a key whose job has no row any more is refused" 404 "$(submit lost)"
expect "the refusal says that the row is no longer kept" true \
  "$(jq '.detail|contains ("no longer kept")' "$work/body")"

for i in $(seq 40); do
  put_key desk "old$i" done 1 'd1~0123456789abcdef'
  put_key agency "old$i" unknown 1 'd1~0123456789abcdef'
done
put_key agency young claimed "$now" 'd1~0123456789abcdef'
wait_for "$HANG" keys_are 3
expect "expired rows are deleted" 3 "$(count_keys)"
expect "a key whose row was deleted counts as new" 202 "$(submit old1)"
expect "a key that has not expired is still known" "202 $job" \
  "$(submit first) $(jq -r .job "$work/body")"
exit "$failed"
