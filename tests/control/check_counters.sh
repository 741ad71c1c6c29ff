#!/usr/bin/env bash
# The scheduler counts ended jobs by class, account and end; the counters in
# JSON require the operator's key.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh
key=operator-key

start_world 1 2
start_sched s1 --listen 127.0.0.1:0 \
  --operator-digest "$("$BIN/skr" key digest "$key")"
wait_for "$HANG" has_logged s1 504
port=$(sed -n 's/^counters on port //p' "$work/s1.out")
for n in 1 2 3; do
  put_job d1 "$n" 1 1 100 true
done
wait_for "$HANG" has_states d1 done=3
counted ()
{
  curl -s "http://127.0.0.1:$port/metrics" \
    | grep -qF 'skr_jobs_total{class="bulk",account="a",end="done"} 3'
}
wait_for "$HANG" counted
expect "three jobs are counted as done" 0 "$?"
expect "without a key" 401 "$(curl -s -o /dev/null -w '%{http_code}' \
  "http://127.0.0.1:$port/v1/counters")"
expect "with the operator's key" 3 "$(curl -s -H "Authorization: Bearer $key" \
  "http://127.0.0.1:$port/v1/counters" | jq '[.series[]
    | select(.name == "skr_job_completion_seconds") | .count] | add')"
expect "unknown path" 404 "$(curl -s -o /dev/null -w '%{http_code}' \
  "http://127.0.0.1:$port/")"
stop s1
expect "exit status of the scheduler" 0 "$STATUS"
exit "$failed"
