#!/usr/bin/env bash
# Workers are killed, stop answering and leave while jobs run on them.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

state_of ()
{
  curl -s "$platform/v1/rows/jobs.d1/$(printf 'd1~%016x' "$1")" \
    | jq -r "${2-.value.state}"
}
is_in_state ()
{
  [ "$(state_of "$1")" = "$2" ]
}
worker_fault ()
{
  curl -s -o /dev/null -X POST -d "$2" "http://${ADDR[$1]}/v1/admin/faults"
}
# started_on WORKER: prints the number of tasks that started there.
started_on ()
{
  jq -r 'select(.kind == "task" and .end == null) | .id' \
    "$work/journal.$1" 2> /dev/null | wc -l
}

# A lost worker is detected when the leases of its tasks have expired.
SCHED_ARGS=(--cell-lease-ms 3000 --cell-margin-ms 750 --task-lease-ms 10000)

start_world 1 4
hold
start_sched s1
wait_for "$HANG" has_logged s1 504

put_job d1 1 4 8 500 true
put_job d1 2 1 0 500 false
wait_for "$HANG" has_states d1 "running=2"
victim=$(state_of 2 '.value.placement[0].worker')
crash "$victim"
wait_for "$HANG" is_in_state 2 unknown
wait_for "$HANG" is_in_state 1 queued
expect "killed: the job that must not be repeated" unknown "$(state_of 2)"
expect "killed: the gang is stopped and requeued" queued "$(state_of 1)"
start "$victim" skr-worker --id "$victim" --domain d1 --rack r1 \
  --listen 127.0.0.1:0 --platform "$platform" \
  --journal-file "$work/journal.$victim" --hold-file "$work/hold.$victim"
release
wait_for "$HANG" is_in_state 1 done
expect "killed: the gang runs again when it fits" "done 2" \
  "$(state_of 1) $(state_of 1 .value.attempt)"

# No connection to w12 that is open now answers any more: the end of the gang can
# only be reported over a new one.
hold
put_job d1 3 4 8 500 false
wait_for "$HANG" is_in_state 3 running
worker_fault w12 '{"mode":"silent"}'
worker_fault w12 '{"mode":"ok"}'
release
wait_for "$HANG" is_in_state 3 done
expect "silent connections: the gang is done" done "$(state_of 3)"

hold
put_job d1 4 1 8 500 false
wait_for "$HANG" is_in_state 4 running
leaver=$(state_of 4 '.value.placement[0].worker')
curl -s -o /dev/null -X POST "http://${ADDR[$leaver]}/v1/admin/leave"
knows_leaver () { grep -q " 507 .*worker=\"$leaver\"" "$work/s1.err"; }
wait_for "$HANG" knows_leaver
expect "leaving: the holder is informed" 0 "$?"
release_all_but "$leaver"
before=$(started_on "$leaver")
for n in $(seq 5 20); do
  put_job d1 "$n" 1 8 200 false
done
wait_for "$HANG" is_in_state 20 done
expect "leaving: running tasks continue" running "$(state_of 4)"
release
wait_for "$HANG" is_in_state 4 done
expect "leaving: running tasks end normally" done "$(state_of 4)"
expect "leaving: no new tasks" "$before" "$(started_on "$leaver")"
expect "all jobs" "done=19 unknown=1" "$(states d1)"
exit "$failed"
