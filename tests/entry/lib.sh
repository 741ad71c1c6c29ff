# Starts a platform, workers and entry VMs with two client accounts, and sends
# requests to them.  Sourced by the checks; needs bash, curl and jq.
. tests/stand/lib.sh
# Keys of the operator and of the client accounts desk and agency.
OPERATOR=operators-key
DESK=desk-key
AGENCY=agency-key

# start_entry NAME DOMAIN ARGS...: starts skr-entry on free ports and lists its
# VM at the platform.
start_entry ()
{
  local name=$1 domain=$2 peer try
  shift 2
  for try in 1 2 3 4 5 6 7 8 9 10; do
    peer=127.0.0.1:$((20000 + RANDOM % 12000))
    "$BIN/skr-entry" --vm "$name" --domain "$domain" --listen 127.0.0.1:0 \
      --peer "$peer" --platform "http://${ADDR[platform]}" \
      --operator-digest "$("$BIN/skr" key digest $OPERATOR)" "$@" \
      > "$work/$name.out" 2>> "$work/$name.err" &
    PID[$name]=$!
    if wait_for "$HANG" grep -q '^listening ' "$work/$name.out"; then
      break
    fi
    [ "$try" -lt 10 ] || { cat "$work/$name.err"; exit 1; }
  done
  ADDR[$name]=$(awk '/^listening /{print $2; exit}' "$work/$name.out")
  curl -s -o /dev/null -X PUT "http://${ADDR[platform]}/v1/admin/vms/$name" \
    -d "{\"role\":\"entry\",\"address\":\"${ADDR[$name]}\",\"peer\":\"$peer\",
         \"rack\":\"r1\",\"domain\":\"$domain\",\"state\":\"live\"}"
}

# put_list ENTRY LIST VERSION BODY: replaces VERSION of a configuration list;
# prints the HTTP status and keeps the body in $work/body.
put_list ()
{
  curl -s -m 10 -o "$work/body" -w '%{http_code}' -X PUT -d "$4" \
    -H "Authorization: Bearer $OPERATOR" -H "If-Match: \"$3\"" \
    "http://${ADDR[$1]}/v1/$2"
}

# plans: prints the list of plans.
plans ()
{
  printf '[{"account":"desk","plan":"gold","key_digest":"%s"},
           {"account":"agency","plan":"gold","key_digest":"%s"}]' \
    "$("$BIN/skr" key digest $DESK)" "$("$BIN/skr" key digest $AGENCY)"
}

# allowances [CALLS_PER_SECOND [CONCURRENT_CALLS]]: prints the list.
allowances ()
{
  printf '[{"plan":"gold","guarantee":[{"size":4,"count":1}],
    "calls_per_second":%d,"concurrent_calls":%d,"queued_jobs":100}]' \
    "${1-1000}" "${2-200}"
}

# operator ENTRY PATH: prints the response to the operator's GET request.
operator ()
{
  curl -s -m 10 -H "Authorization: Bearer $OPERATOR" "http://${ADDR[$1]}$2"
}

# has_lists ENTRY WORKERS: both lists are in force there and it knows WORKERS
# upstreams.
has_lists ()
{
  [ "$(operator "$1" /v1/status | jq '.plans_version>0
    and .allowances_version>0 and (.upstreams|length)=='"$2")" = true ]
}

# start_all WORKERS ENTRIES [ENTRY ARGS...]: starts the platform, the workers
# w1... and the entry VMs e1..., and waits until the lists are in force.
start_all ()
{
  local workers=$1 entries=$2 i
  shift 2
  start platform skr-platform
  for ((i = 1; i <= workers; i++)); do
    start "w$i" skr-worker --id "w$i" --domain d1 \
      --platform "http://${ADDR[platform]}"
  done
  for ((i = 1; i <= entries; i++)); do
    start_entry "e$i" "d$i" "$@"
  done
  wait_for "$HANG" fleet_seen e1 "$workers"
  wait_for "$HANG" put_first allowances "$(allowances)"
  wait_for "$HANG" put_first plans "$(plans)"
  for ((i = 1; i <= entries; i++)); do
    wait_for "$HANG" has_lists "e$i" "$workers" || { echo "e$i: no lists"; exit 1; }
  done
}

# put_first LIST BODY: writes the first version of a configuration list.
put_first () { [ "$(put_list e1 "$1" 0 "$2")" = 200 ]; }

# fleet_seen ENTRY WORKERS: it knows WORKERS upstreams.
fleet_seen ()
{
  [ "$(operator "$1" /v1/status | jq '.upstreams|length')" = "$2" ]
}

# call ENTRY KEY REPEATABLE DEADLINE_MS RUN_MS [CURL ARGS...]: prints the HTTP
# status and the state; keeps the body in $work/KEY.ENTRY.
call ()
{
  local entry=$1 key=$2 body
  body="{\"kind\":\"slot\",\"repeatable\":$3,\"deadline_ms\":$4,
    \"payload\":{\"fake\":{\"run_ms\":$5,\"tag\":\"$key\"}}}"
  shift 5
  curl -s -m 60 -o "$work/$key.$entry" -w '%{http_code} ' -d "$body" \
    -H "Authorization: Bearer $DESK" -H "Idempotency-Key: $key" "$@" \
    "http://${ADDR[$entry]}/v1/calls"
  jq -r '.state // "-"' "$work/$key.$entry" 2> /dev/null
}

# first_attempt ENTRY KEY ...: a call that is declared the first attempt.
first_attempt () { call "$@" -H "Idempotency-Attempt: 1"; }

# start_held_call ENTRY KEY: a first attempt in the background that runs until
# release_held_calls.  Its result goes to $work/KEY, its process id to
# HELD_PID[KEY].
declare -A HELD_PID
start_held_call ()
{
  first_attempt "$1" "$2" false 50000 '0,"hold":true' > "$work/$2" &
  HELD_PID[$2]=$!
}
# release_held_calls: lets the held calls end and waits for their results.
release_held_calls ()
{
  local name
  for name in "${!ADDR[@]}"; do
    case $name in
      w*) post "${ADDR[$name]}" /v1/admin/release '{}' > /dev/null ;;
    esac
  done
  wait "${HELD_PID[@]}"
  HELD_PID=()
}
# started_once TAG: the call of TAG was started exactly once.
started_once () { [ "$(count_starts "$1")" = 1 ]; }

# call_state ENTRY KEY: prints the state of a call, or the HTTP status of the
# error.
call_state ()
{
  curl -s -m 10 -H "Authorization: Bearer $DESK" \
    "http://${ADDR[$1]}/v1/calls/$2" | jq -r '.state // .status'
}

# count_starts TAG: prints how often the workers have started the call of TAG.
count_starts ()
{
  local name n=0
  for name in "${!ADDR[@]}"; do
    case $name in
      w*) n=$((n + $(get "${ADDR[$name]}" /v1/admin/journal \
            | jq "[.entries[]|select(.tag==\"$1\")]|length"))) ;;
    esac
  done
  echo "$n"
}

# platform_fault JSON, worker_fault NAME JSON: set a fault there.
platform_fault () { post "${ADDR[platform]}" /v1/admin/faults "$1" > /dev/null; }
worker_fault () { post "${ADDR[$1]}" /v1/admin/faults "$2" > /dev/null; }
# log_has NAME REGEX: the log of daemon NAME has a line that matches.
log_has () { grep -q "$2" "$work/$1.err"; }
