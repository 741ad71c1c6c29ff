# Starts a platform, workers and schedulers; sourced by the scripts of this
# directory and others. Needs bash, curl and jq.
. tests/stand/lib.sh

# start_sched NAME ARGS...: starts a scheduler on a free port. Cell leases are
# short for quick take-overs; SCHED_ARGS overrides the settings.
SCHED_ARGS=()
start_sched ()
{
  local name=$1 try
  shift
  for try in 1 2 3 4 5 6 7 8 9 10; do
    try_start "$name" skr-sched --vm "$name" \
      --peer "127.0.0.1:$((10000 + RANDOM % 22000))" --platform "$platform" \
      --cell-lease-ms 1500 --cell-margin-ms 300 --task-lease-ms 4000 \
      --settle-ms 300 --order-timeout-ms 500 "${SCHED_ARGS[@]}" "$@" && break
  done
  curl -s -o /dev/null -X PUT "$platform/v1/admin/vms/$name" \
    -d "{\"role\":\"entry\",\"address\":\"127.0.0.1:1\",\"peer\":\"\",
         \"rack\":\"r1\",\"domain\":\"d1\",\"state\":\"live\"}"
}

# start_world CELLS WORKERS: starts the platform and WORKERS workers in each of
# CELLS cells.
start_world ()
{
  local d w
  start platform skr-platform --listen 127.0.0.1:0
  platform=http://${ADDR[platform]}
  for d in $(seq "$1"); do
    for w in $(seq "$2"); do
      start "w$d$w" skr-worker --id "w$d$w" --domain "d$d" --rack "r$d" \
        --listen 127.0.0.1:0 --platform "$platform" \
        --journal-file "$work/journal.w$d$w" --hold-file "$work/hold.w$d$w"
    done
  done
}

# hold [WORKER...]: no task on these workers (default: all) ends by itself until
# release.
hold ()
{
  local name
  [ $# -gt 0 ] || set -- "${!ADDR[@]}"
  for name in "$@"; do
    touch "$work/hold.$name"
  done
}
release () { rm -f "$work"/hold.*; }
release_all_but () { find "$work" -name 'hold.*' ! -name "hold.$1" -delete; }

# put_job CELL NUMBER TASKS PER_TASK RUN_MS REPEATABLE: writes the row of a new
# job.
put_job ()
{
  local id
  id=$(printf '%s~%016x' "$1" "$2")
  curl -s -o /dev/null -X POST "$platform/v1/txn" -d "{\"checks\":[],\"ops\":[
    {\"op\":\"put\",\"table\":\"jobs.$1\",\"key\":\"$id\",\"value\":{
      \"account\":\"a\",\"key\":\"k$2\",\"class\":\"bulk\",\"tasks\":$3,
      \"per_task\":$4,\"declared_ms\":$5,\"repeatable\":$6,
      \"preemptible\":true,\"payload\":{\"fake\":{\"run_ms\":$5}},
      \"state\":\"queued\",\"attempt\":0,\"submitted_at\":$2}}]}"
}

# states CELL: prints the number of jobs in each state, as "done=3 running=1".
states ()
{
  curl -s "$platform/v1/rows/jobs.$1?limit=1000" \
    | jq -r '[.rows[].value.state] | group_by(.)
             | map("\(.[0])=\(length)") | join(" ")'
}
has_states ()
{
  [ "$(states "$1")" = "$2" ]
}

holder ()
{
  curl -s "$platform/v1/rows/cells/$1" | jq -r .value.holder
}
is_held_by ()
{
  [ "$(holder "$1")" = "$2" ]
}

# log_count NAME EVENT: prints the number of lines of EVENT in the log of NAME.
log_count ()
{
  grep -c " $2 " "$work/$1.err"
}
has_logged ()
{
  [ "$(log_count "$1" "$2")" -ge "${3-1}" ]
}

# count_started: prints the number of tasks started, over all workers.
count_started ()
{
  cat "$work"/journal.* \
    | jq -r 'select(.kind == "task" and .end == null) | .id' | wc -l
}

# count_started_twice: prints the number of tasks started more than once, over
# all workers.
count_started_twice ()
{
  cat "$work"/journal.* | jq -r 'select(.kind == "task" and .end == null)
    | "\(.id) \(.task)"' | sort | uniq -d | wc -l
}
