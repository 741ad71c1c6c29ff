#!/usr/bin/env bash
# Guards against unintended changes of HTTP responses: compares those that
# callers and operators get byte for byte with exchanges.golden.  Ids, times
# and digests, which differ from run to run, are masked.  With WRITE_GOLDEN
# set, exchanges.golden is replaced first.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

# Replaces what differs from run to run.
mask ()
{
  tr -d '\r' | grep -vi '^date: \|^content-length: ' \
    | sed -E 's/d1~[0-9a-f]{16}/JOB/g; s/[0-9a-f]{32}\.1/REQUEST/g
      s/"(submitted_at)":[0-9]+/"\1":0/; s/^Retry-After: [0-9]+/Retry-After: N/
      s/"digest":"[0-9a-f]+"/"digest":"DIGEST"/'
}
# ask KEY METHOD PATH [CURL ARGS...]: prints a request line and its response.
ask ()
{
  local key=$1 method=$2 path=$3
  shift 3
  printf '> %s %s\n' "$method" "$path" | mask
  curl -s -i -m 20 -X "$method" -H "Authorization: Bearer $key" "$@" \
    "http://${ADDR[e1]}$path" | mask
  printf '\n\n'
}
post_call () # IDEMPOTENCY_KEY BODY [CURL ARGS...]
{
  local idempotency_key=$1 body=$2
  shift 2
  ask $DESK POST /v1/calls -H "Idempotency-Key: $idempotency_key" -d "$body" \
    "$@"
}
post_job () # IDEMPOTENCY_KEY BODY
{
  ask $DESK POST /v1/jobs -H "Idempotency-Key: $1" -d "$2"
}

start_all 3 1
booking='{"kind":"book","repeatable":false,"deadline_ms":9000,"payload":{"a":1}}'
check='{"kind":"check","repeatable":true,"deadline_ms":9000,"payload":{}}'
roster='{"class":"bulk","tasks":2,"per_task":4,"declared_ms":1000,
  "repeatable":true,"preemptible":true,"payload":{"week":50}}'
{
  ask '' GET /healthz
  post_call g1 "$booking" -H 'Idempotency-Attempt: 1'
  post_call g1 "$booking" -H 'Idempotency-Attempt: 2'
  post_call g1 "$check"
  post_call g2 "$check"
  post_call g3 '{"kind":"check"}'
  post_call g3 '{'
  post_call 'g/4' "$check"
  post_call g5 "$check" -H 'Idempotency-Attempt: none'
  ask $DESK GET /v1/calls/g1
  ask $AGENCY GET /v1/calls/g1
  post_job g6 "$roster"
  post_job g6 "$roster"
  post_job g1 "$roster"
  job=$(curl -s -H "Authorization: Bearer $DESK" "http://${ADDR[e1]}/v1/jobs" \
    | jq -r '.jobs[0].job')
  ask $DESK GET "/v1/jobs/$job"
  ask $AGENCY GET "/v1/jobs/$job"
  ask $DESK GET /v1/jobs
  ask $DESK DELETE "/v1/jobs/$job"
  ask $DESK GET /v1/jobs/d1~0123456789abcdef
  post_job g7 '{"class":"bulk","tasks":1,"per_task":16,"declared_ms":1,
    "repeatable":true,"preemptible":true,"payload":{}}'
  ask '' GET /v1/jobs
  ask $DESK GET /v1/plans
  ask $OPERATOR GET /v1/allowances
  ask $OPERATOR PUT /v1/allowances -d '[]'
  ask $OPERATOR PUT /v1/allowances -H 'If-Match: "7"' -d '[]'
  ask $OPERATOR PUT /v1/allowances -H 'If-Match: "1"' -d '[]'
  ask $OPERATOR PUT /v1/allowances -H 'If-Match: "1"' -d '{}'
  ask $DESK GET /v1/nowhere
  ask $DESK PATCH /v1/jobs
} > "$work/exchanges"
if [ -n "${WRITE_GOLDEN-}" ]; then
  cp "$work/exchanges" tests/entry/exchanges.golden
fi
diff tests/entry/exchanges.golden "$work/exchanges"
