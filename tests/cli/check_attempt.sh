#!/bin/bash
# Guards against a wrong statement that a call was not run.  With the table
# down, a call whose key skr has just generated is refused as not run (exit 3,
# "state not_run").  A key given by the caller may have been used before, so
# the state of its call is unknown.
cd "$(dirname "$0")/../.." || exit 1
. tests/stand/lib.sh
start platform skr-platform --listen 127.0.0.1:0
start entry skr-entry --vm e1 --listen 127.0.0.1:0 --log-level 0 \
  --platform "http://${ADDR[platform]}" --spare-workers 0 \
  --operator-digest "$("$BIN/skr" key digest op)"
echo '{"version":0,"list":[{"plan":"p","guarantee":[],"calls_per_second":9,
  "concurrent_calls":9,"queued_jobs":9}]}' > "$work/allowances"
echo "{\"version\":0,\"list\":[{\"account\":\"a\",\"plan\":\"p\",
  \"key_digest\":\"$("$BIN/skr" key digest key)\"}]}" > "$work/plans"
echo '{"kind":"book","repeatable":false,"deadline_ms":20000,"payload":{}}' \
  > "$work/call"
skr ()
{
  "$BIN/skr" --entry "${ADDR[entry]}" --timeout-ms 120000 "$@"
}
wait_for "$HANG" skr --key op allowances put "$work/allowances"
wait_for "$HANG" skr --key op plans put "$work/plans"
wait_for "$HANG" skr --key key job list
post "${ADDR[platform]}" /v1/admin/faults '{"mode":"down"}' > /dev/null
# refused ARGS...: makes the call; prints the exit code and the state.
refused ()
{
  skr --key key "$@" call "$work/call" 2> "$work/refusal" > /dev/null
  echo "$? $(grep -o 'state [a-z_]*' "$work/refusal")"
}
expect "a generated key" "3 state not_run" "$(refused)"
expect "a key from the caller" "3 state unknown" \
  "$(refused --idempotency-key again)"
exit "$failed"
