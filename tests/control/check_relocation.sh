#!/usr/bin/env bash
# A gang that no longer fits its cell after the loss of a worker moves to another
# cell.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

# row CELL NUMBER FIELD: prints FIELD of job d1~NUMBER in the table of CELL.
row ()
{
  curl -s "$platform/v1/rows/jobs.$1/$(printf 'd1~%016x' "$2")" \
    | jq -r ".value.$3"
}
row_is ()
{
  [ "$(row "$1" "$2" "$3")" = "$4" ]
}

# A lost worker is detected when the leases of its tasks have expired.
SCHED_ARGS=(--cell-lease-ms 3000 --cell-margin-ms 750 --task-lease-ms 10000)

start_world 2 2
start_sched s1
start_sched s2 --domain d2
for cell in d1 d2; do
  wait_for "$HANG" eval "[ \"\$(curl -s $platform/v1/rows/cells/$cell \
    | jq .value.workers)\" = 2 ]"
done

hold
put_job d1 1 2 8 300 true
wait_for "$HANG" row_is d1 1 state running
crash w12
release
put_job d1 2 2 8 300 false
wait_for "$HANG" row_is d2 2 state done
wait_for "$HANG" row_is d2 1 state done
expect "the running gang is done in the other cell" done "$(row d2 1 state)"
expect "the queued gang is done in the other cell" done "$(row d2 2 state)"
expect "both gangs are in one cell only" "d2 null d2 null" \
  "$(row d1 1 moved_to) $(row d1 1 state) $(row d1 2 moved_to) $(row d1 2 state)"
expect "the job that must not be repeated started once" 2 \
  "$(cat "$work"/journal.* | jq -r 'select(.kind == "task" and .end == null
    and .id == "d1~0000000000000002") | .task' | wc -l)"
exit "$failed"
