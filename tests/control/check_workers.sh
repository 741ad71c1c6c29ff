#!/usr/bin/env bash
# Workers are killed, go silent and leave under jobs.
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
# at WORKER: tasks that began there.
at ()
{
  jq -r 'select(.kind == "task" and .end == null) | .id' \
    "$work/journal.$1" 2> /dev/null | wc -l
}

start_world 1 4
start_sched s1
wait_for 100 has_logged s1 504

put_job d1 1 4 8 8000 true
put_job d1 2 1 0 8000 false
wait_for 100 has_states d1 "running=2"
victim=$(state_of 2 '.value.placement[0].worker')
crash "$victim"
wait_for 200 is_in_state 2 unknown
expect "killed: what may not be repeated" unknown "$(state_of 2)"
expect "killed: the gang is stopped and waits" queued "$(state_of 1)"
start "$victim" skr-worker --id "$victim" --domain d1 --rack r1 \
  --listen 127.0.0.1:0 --platform "$platform" \
  --journal-file "$work/journal.$victim"
wait_for 300 is_in_state 1 done
expect "killed: the gang runs again when it fits" "done 2" \
  "$(state_of 1) $(state_of 1 .value.attempt)"

put_job d1 3 4 8 2000 false
wait_for 100 is_in_state 3 running
worker_fault w12 '{"mode":"silent"}'
sleep 0.5
worker_fault w12 '{"mode":"ok"}'
wait_for 200 is_in_state 3 done
expect "silent connections: the gang ends done" done "$(state_of 3)"

put_job d1 4 1 8 4000 false
wait_for 100 is_in_state 4 running
leaver=$(state_of 4 '.value.placement[0].worker')
curl -s -o /dev/null -X POST "http://${ADDR[$leaver]}/v1/admin/leave"
sleep 3
before=$(at "$leaver")
for n in $(seq 5 20); do
  put_job d1 "$n" 1 8 200 false
done
wait_for 300 is_in_state 20 done
wait_for 100 is_in_state 4 done
expect "leaving: work in progress ends" done "$(state_of 4)"
expect "leaving: nothing new after 3 s" "$before" "$(at "$leaver")"
expect "all jobs" "done=19 unknown=1" "$(states d1)"
exit "$failed"
