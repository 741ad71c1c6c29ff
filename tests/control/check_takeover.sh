#!/usr/bin/env bash
# The holder of a cell is killed, paused and stopped while gangs run: another
# scheduler takes over, no task runs twice and no job is lost.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

# A lease long enough not to expire on a busy machine; task leases outlive any
# take-over.
SCHED_ARGS=(--cell-lease-ms 6000 --cell-margin-ms 1500 --task-lease-ms 600000
  --drain-ms 60000)

start_world 1 4
hold
start_sched s1
wait_for "$HANG" has_logged s1 504
start_sched s2
put_job d1 1 4 8 500 false
wait_for "$HANG" has_states d1 "running=1"

crash s1
wait_for "$HANG" has_logged s2 504
expect "killed: the other scheduler holds the cell" s2 "$(holder d1)"
expect "killed: the gang continues" "running=1" "$(states d1)"
release
wait_for "$HANG" has_states d1 "done=1"
expect "killed: the gang is done" "done=1" "$(states d1)"
expect "killed: each task started" 4 "$(count_started)"
expect "killed: no task ran twice" 0 "$(count_started_twice)"

start_sched s3
hold
put_job d1 2 4 8 500 false
wait_for "$HANG" has_states d1 "done=1 running=1"
kill -STOP "${PID[s2]}"
wait_for "$HANG" has_logged s3 504
expect "paused: the other scheduler holds the cell" s3 "$(holder d1)"
put_job d1 3 1 1 500 false
kill -CONT "${PID[s2]}"
wait_for "$HANG" has_logged s2 502
release
expect "paused: it detects the loss of its lease" 1 "$(log_count s2 502)"
wait_for "$HANG" has_states d1 "done=3"
expect "paused: both jobs are done" "done=3" "$(states d1)"
expect "paused: no task ran twice" 0 "$(count_started_twice)"
expect "paused: the other scheduler is still the holder" s3 "$(holder d1)"

hold
put_job d1 4 4 8 500 false
wait_for "$HANG" has_states d1 "done=3 running=1"
stop s3
expect "stopped: exit status 0" 0 "$STATUS"
expect "stopped: it released the cell" 1 "$(log_count s3 503)"
wait_for "$HANG" has_logged s2 504 2
expect "stopped: the other scheduler recovers the cell" 2 "$(log_count s2 504)"
expect "stopped: the gang continues" "done=3 running=1" "$(states d1)"
release
wait_for "$HANG" has_states d1 "done=4"
expect "stopped: the gang is done" "done=4" "$(states d1)"
expect "stopped: no task ran twice" 0 "$(count_started_twice)"
exit "$failed"
