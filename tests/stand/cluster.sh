# Starts a small cluster on loopback for the failure scenarios.  Sourced after
# lib.sh.
OPERATOR_KEY=operator-key
ACCOUNTS=a=key-a,b=key-b
DOMAINS=3
ENTRY_ARGS=() # additional arguments of every skr-entry
SCHED_ARGS=() # additional arguments of every skr-sched
WITH_KEYS=    # when set, both have their CURVE keys in $work/keys.NAME

# Prints a port on which nothing listens.
free_port ()
{
  local port
  while :; do
    port=$((20000 + RANDOM % 12000))
    (exec 3<> "/dev/tcp/127.0.0.1/$port") 2> /dev/null || break
  done
  echo "$port"
}

# list_vm N: adds entry VM N to the platform's VM list.
list_vm ()
{
  curl -s -o /dev/null -X PUT "http://${ADDR[platform]}/v1/admin/vms/vm$1" \
    -d "{\"role\":\"entry\",\"address\":\"${ADDR[entry$1]}\",
      \"peer\":\"127.0.0.1:${peer_port[$1]}\",\"rack\":\"e\",
      \"domain\":\"d$((($1 - 1) % DOMAINS + 1))\",\"state\":\"live\"}"
}

# unlist_vm N: removes entry VM N from the platform's VM list.
unlist_vm ()
{
  curl -s -o /dev/null -X DELETE "http://${ADDR[platform]}/v1/admin/vms/vm$1"
}

# with_port ARRAY N COMMAND...: runs COMMAND with the address of port ARRAY[N]
# as last argument.  Retries with other ports, since another program may have
# bound the port meanwhile.
with_port ()
{
  local -n ports_ref=$1
  local n=$2 tries
  shift 2
  for tries in 1 2 3 4 5; do
    : "${ports_ref[$n]:=$(free_port)}"
    "$@" "127.0.0.1:${ports_ref[$n]}" && return
    unset "ports_ref[$n]"
  done
  echo "$2 did not start:"
  cat "$work/$2.err"
  exit 1
}

# start_entry N [ARGS...]: starts skr-entry of entry VM N and lists the VM.
start_entry ()
{
  local n=$1
  shift
  with_port peer_port "$n" try_start "entry$n" skr-entry --vm "vm$n" \
    --domain "d$(((n - 1) % DOMAINS + 1))" --listen 127.0.0.1:0 \
    --platform "http://${ADDR[platform]}" \
    --operator-digest "$("$BIN/skr" key digest "$OPERATOR_KEY")" \
    ${WITH_KEYS:+--peer-keys "$work/keys.entry$n"} "${ENTRY_ARGS[@]}" "$@" \
    --peer
  list_vm "$n"
}

# start_sched N: starts skr-sched of entry VM N, if that program was built.
start_sched ()
{
  [ -x "$BIN/skr-sched" ] || return 0
  with_port sched_port "$1" try_start "sched$1" skr-sched --vm "vm$1" \
    --domain "d$((($1 - 1) % DOMAINS + 1))" \
    --platform "http://${ADDR[platform]}" --peers "$(peers)" \
    ${WITH_KEYS:+--peer-keys "$work/keys.sched$1"} "${SCHED_ARGS[@]}" --peer
}

# Prints the peer addresses of all entries and schedulers.
peers ()
{
  local all
  all=$(printf '127.0.0.1:%s,' "${peer_port[@]}" "${sched_port[@]}")
  echo "${all%,}"
}

# start_worker N [ARGS...]: starts worker N.  Its journal is also in a file,
# which survives a crash.  No task finishes while $work/hold exists.
start_worker ()
{
  local n=$1
  shift
  start "w$n" skr-worker --id "w$n" --rack "r$n" \
    --domain "d$(((n - 1) % DOMAINS + 1))" --checkpoint-ms 50 \
    --usage-lag-ms 200 --platform "http://${ADDR[platform]}" \
    --journal-file "$work/journal.w$n" --hold-file "$work/hold" "$@"
  journals=${journals:+$journals,}$work/journal.w$n
}

# operator ARGS...: runs skr with the operator's key.
operator ()
{
  "$BIN/skr" --entry "$(entries)" --key "$OPERATOR_KEY" "$@"
}

# Prints the addresses of the entries that were started, in order.
entries ()
{
  local n all=
  for n in 1 2 3 4 5; do
    [ -z "${ADDR[entry$n]:-}" ] || all=${all:+$all,}${ADDR[entry$n]}
  done
  echo "$all"
}

# Puts the allowances and plans of the accounts a and b.
put_lists ()
{
  cat > "$work/allowances.json" << END
{"version": 0, "list": [
 {"plan": "p", "guarantee": [{"size": 4, "count": 1}],
  "calls_per_second": 1000, "concurrent_calls": 500, "queued_jobs": 1000}]}
END
  cat > "$work/plans.json" << END
{"version": 0, "list": [
 {"account": "a", "plan": "p", "key_digest": "$("$BIN/skr" key digest key-a)"},
 {"account": "b", "plan": "p", "key_digest": "$("$BIN/skr" key digest key-b)"}]}
END
  wait_for "$HANG" operator allowances put "$work/allowances.json" \
    && wait_for "$HANG" operator plans put "$work/plans.json"
}

# account_known ADDRESS: the entry accepts the key of account b.
account_known ()
{
  [ "$(curl -s -o /dev/null -w '%{http_code}' -m 2 \
    -H 'Authorization: Bearer key-b' "http://$1/v1/calls/none")" = 404 ]
}

# cluster ENTRIES WORKERS: starts the platform, WORKERS workers spread over the
# failure domains, and ENTRIES entry VMs with their schedulers, then waits until
# the lists are in force on all entries.  FAULT_POINT, when set, applies to
# entry 1.
cluster ()
{
  local n
  declare -gA peer_port=() sched_port=()
  journals=
  start platform skr-platform --writes-per-second "${WRITES:-0}" \
    --list-lag-ms "${LIST_LAG_MS:-0}"
  for ((n = 1; n <= $2; n++)); do
    start_worker "$n"
  done
  for ((n = 1; n <= $1; n++)); do
    peer_port[$n]=$(free_port)
    sched_port[$n]=$(free_port)
  done
  for ((n = 1; n <= $1; n++)); do
    if [ "$n" -eq 1 ]; then
      start_entry 1 --fault-point "${FAULT_POINT:-none}"
    else
      start_entry "$n"
    fi
  done
  for ((n = 1; n <= $1; n++)); do
    start_sched "$n"
  done
  put_lists || { give_up "the lists are not accepted"; return 1; }
  for ((n = 1; n <= $1; n++)); do
    wait_for "$HANG" account_known "${ADDR[entry$n]}" \
      || { give_up "entry $n does not know the accounts"; return 1; }
  done
  warm_up || { give_up "no call is answered"; return 1; }
}

# Waits until every entry completes a call, so has found upstreams.
warm_up ()
{
  local n
  for ((n = 1; n <= 5; n++)); do
    [ -n "${ADDR[entry$n]:-}" ] || continue
    wait_for "$HANG" ready "$n" || return 1
  done
}

# ready N: a call at entry N succeeds.
ready ()
{
  [ "$(curl -s -o /dev/null -w '%{http_code}' -m 5 \
    -H 'Authorization: Bearer key-a' -H "Idempotency-Key: warm-$RANDOM$RANDOM" \
    -d '{"kind":"warm","repeatable":true,"deadline_ms":2000,"payload":{}}' \
    "http://${ADDR[entry$1]}/v1/calls")" = 200 ]
}

# give_up MESSAGE...: prints the message and the end of all logs; returns 1.
give_up ()
{
  echo "  $*"
  for f in "$work"/*.err; do
    [ -s "$f" ] && { echo "  -- $(basename "$f")"; tail -n 3 "$f"; }
  done
  return 1
}

# load ARGS...: runs skr-load on ENTRIES, by default all entries.  Its result
# goes to $work/load.json.
load ()
{
  "$BIN/skr-load" --entries "${ENTRIES:-$(entries)}" --accounts "$ACCOUNTS" \
    --journals "$journals" --seed "${SEED:-1}" --json \
    --record "$work/record.jsonl" "$@" \
    > "$work/load.json" 2> "$work/load.err"
}

# load_start ARGS...: runs load in the background; load_end waits for it.
load_start ()
{
  load "$@" &
  LOAD=$!
}

load_end ()
{
  wait "$LOAD"
}

# log_count NAME EVENT: prints how many lines of EVENT the program NAME has
# logged.  has_logged NAME EVENT [N]: it has logged N or more, by default 1.
log_count () { grep -c " $2\( \|$\)" "$work/$1.err"; }
has_logged () { [ "$(log_count "$1" "$2")" -ge "${3-1}" ]; }

# status_of N EXPRESSION: prints a jq expression of the status of entry N.
# status_is N EXPRESSION: the expression is true.
status_of ()
{
  curl -s -m 20 -H "Authorization: Bearer $OPERATOR_KEY" \
    "http://${ADDR[entry$1]}/v1/status" | jq "$2"
}
status_is () { [ "$(status_of "$1" "$2")" = true ]; }

# Sets timeouts of the entries so long that a slow store causes no refusals.
patient_entries ()
{
  ENTRY_ARGS=(--table-timeout-ms 60000 --connect-timeout-ms 60000)
}

# count FIELD: prints a counter of the last result of skr-load.
count () { jq -r ".$1" "$work/load.json" 2> /dev/null; }

# fault NAME JSON: sets a fault mode of a stand-in.
fault ()
{
  post "${ADDR[$1]}" /v1/admin/faults "$2" > /dev/null
}

# verdict WHAT [CONDITION...]: prints the result of the scenario.  It fails when
# something was lost, doubled, crossed or falsely refused, when skr-load did
# not finish, or when CONDITION, a shell test, is false.
verdict ()
{
  local what=$1 result=ok bad
  shift
  bad=$(jq -r 'select(.sent > 0) | .lost + .doubled + .crossed
    + .false_refusals' "$work/load.json" 2> /dev/null)
  [ "$bad" = 0 ] || result=FAIL
  if [ $# -gt 0 ] && ! eval "$@"; then
    result=FAIL
    what="$what; condition failed: $*"
  fi
  printf '%-4s %-24s %s: %s\n' "$result" "$scenario" "$what" \
    "$(jq -r '"sent \(.sent) done \(.done) failed \(.failed) not run \(.not_run) unsent \(.unsent) unknown \(.unknown) lost \(.lost) doubled \(.doubled) crossed \(.crossed) false refusals \(.false_refusals)"' \
      "$work/load.json" 2> /dev/null)"
  jq -r 'select(.end == "not_run")|.status' "$work/record.jsonl" \
    2> /dev/null | sort | uniq -c | while read -r n status; do
    echo "     refused with $status: $n"
  done
  [ "$result" = ok ] || failed=1
}
