#!/usr/bin/env bash
# Rows of jobs that ended longer ago than the retention time are deleted in small
# groups; newer rows stay.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

# put_ended NUMBER ENDED_AT: writes the row of a job that has ended.
put_ended ()
{
  curl -s -o /dev/null -X POST "$platform/v1/txn" -d "{\"checks\":[],\"ops\":[
    {\"op\":\"put\",\"table\":\"jobs.d1\",\"key\":\"$(printf 'd1~%016x' "$1")\",
     \"value\":{\"account\":\"a\",\"key\":\"k$1\",\"class\":\"bulk\",
      \"tasks\":1,\"per_task\":1,\"declared_ms\":1,\"payload\":{},
      \"state\":\"done\",\"attempt\":1,\"submitted_at\":1,
      \"ended_at\":$2}}]}"
}

# A lease long enough not to expire on a busy machine.
SCHED_ARGS=(--cell-lease-ms 6000 --cell-margin-ms 1500 --task-lease-ms 600000)

start_world 1 1
for n in $(seq 20); do
  put_ended "$n" 1
done
put_ended 21 "$(date +%s%3N)"
expect "all rows exist at first" "done=21" "$(states d1)"
start_sched s1
wait_for "$HANG" has_logged s1 504
put_job d1 22 1 1 200 false
wait_for "$HANG" has_states d1 "done=2"
expect "old rows are deleted" "done=2" "$(states d1)"
expect "the lease is not lost" 0 "$(log_count s1 502)"
exit "$failed"
