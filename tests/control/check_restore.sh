#!/usr/bin/env bash
# The table is restored to a state before the start of two jobs that must not be
# repeated. One of them still runs; the other has ended, and its worker has
# forgotten it.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

state_of ()
{
  curl -s "$platform/v1/rows/jobs.d1/$(printf 'd1~%016x' "$1")" \
    | jq -r .value.state
}
is_in_state ()
{
  [ "$(state_of "$1")" = "$2" ]
}

worker_of ()
{
  curl -s "$platform/v1/rows/jobs.d1/$(printf 'd1~%016x' "$1")" \
    | jq -r '.value.placement[0].worker'
}

# Task leases that outlive any take-over.
SCHED_ARGS=(--cell-lease-ms 3000 --cell-margin-ms 750 --task-lease-ms 600000)

start_world 1 2
put_job d1 1 1 8 300 false
put_job d1 2 1 8 300 false
post "${platform#http://}" /v1/admin/snapshot '' > /dev/null
hold
start_sched s1
wait_for "$HANG" has_states d1 "running=2"
rm "$work/hold.$(worker_of 1)"
wait_for "$HANG" is_in_state 1 done
has_forgotten () # WORKER JOB: the worker no longer reports the job
{
  ! curl -s "http://${ADDR[$1]}/v1/tasks?cell=d1" | grep -q "$2"
}
wait_for "$HANG" has_forgotten "$(worker_of 1)" "$(printf 'd1~%016x' 1)"
crash s1
post "${platform#http://}" /v1/admin/restore '' > /dev/null
expect "the table is restored" "queued=2" "$(states d1)"
start_sched s2
wait_for "$HANG" is_in_state 2 running
wait_for "$HANG" is_in_state 1 unknown
release
wait_for "$HANG" is_in_state 2 done
expect "the running job continues" done "$(state_of 2)"
expect "the forgotten job ends as unknown" unknown "$(state_of 1)"
expect "each job started once" "2 0" "$(count_started) $(count_started_twice)"
wait_for "$HANG" eval '[ "$(curl -s "$platform/v1/rows/cells/d1" \
  | jq .value.doubt)" = null ]'
put_job d1 3 1 8 300 false
wait_for "$HANG" is_in_state 3 done
expect "new jobs run" done "$(state_of 3)"
exit "$failed"
