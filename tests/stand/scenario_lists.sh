# Operators' lists under concurrent changes and with a restored table.

# version_at N: prints the version of the allowances in force at entry N.
version_at ()
{
  curl -s -m 5 -H "Authorization: Bearer $OPERATOR_KEY" \
    "http://${ADDR[entry$1]}/v1/allowances" | jq .version
}

# put_at NAME VERSION CALLS_PER_SECOND: puts allowances on top of VERSION at the
# entry NAME and prints the HTTP status.
put_at ()
{
  curl -s -o "$work/put.$1" -w "%{http_code}" -m 120 -X PUT \
    -H "Authorization: Bearer $OPERATOR_KEY" -H "If-Match: \"$2\"" \
    -d "[{\"plan\":\"p\",\"guarantee\":[{\"size\":4,\"count\":1}],
      \"calls_per_second\":$3,\"concurrent_calls\":500,\"queued_jobs\":1000}]" \
    "http://${ADDR[$1]}/v1/allowances"
}

# all_at_least VERSION N...: the entries N have VERSION or a later one in force.
all_at_least ()
{
  local version=$1 n
  shift
  for n in "$@"; do
    [ "$(version_at "$n")" -ge "$version" ] || return 1
  done
}

# no_load SENT DONE: writes a result for "verdict" without running skr-load.
no_load ()
{
  echo '{"sent":'"$1"',"done":'"$2"',"failed":0,"not_run":'$(($1 - $2))',
    "unsent":0,"unknown":0,"lost":0,"doubled":0,"crossed":0,
    "false_refusals":0}' > "$work/load.json"
}

# Two operators change the same version at two entries at once.  Exactly one
# must succeed.
scenario_racing_operators ()
{
  local round a b version won=0 clear=0 began slowest=0
  cluster 3 6 || return 1
  for round in 1 2 3 4 5; do
    version=$(version_at 1)
    put_at entry1 "$version" $((1000 + round)) > "$work/race.1" &
    a=$!
    put_at entry2 "$version" $((2000 + round)) > "$work/race.2" &
    b=$!
    wait "$a" "$b"
    case "$(cat "$work/race.1") $(cat "$work/race.2")" in
      "200 409" | "409 200") won=$((won + 1)) ;;
    esac
    grep -qh '"current"\|"in_force"\|"version"' "$work"/put.entry[12] \
      && clear=$((clear + 1))
    began=$(date +%s%3N)
    wait_for "$HANG" all_at_least $((version + 1)) 1 2 3
    began=$(($(date +%s%3N) - began))
    [ "$began" -gt "$slowest" ] && slowest=$began
  done
  no_load 10 "$won"
  verdict "5 races for one version, in force everywhere in $slowest ms at most" \
    "[ $won = 5 ] && [ $slowest -lt 5000 ]"
}

# The table is restored to an older state.  No VM may go back to the older list,
# nor may a VM that is started afterwards use it.
scenario_restored_table ()
{
  local before=0 after=0 i n
  cluster 3 6 || return 1
  post "${ADDR[platform]}" /v1/admin/snapshot '' > /dev/null
  put_at entry1 "$(version_at 1)" 900 > /dev/null
  wait_for "$HANG" all_at_least 2 1 2 3
  post "${ADDR[platform]}" /v1/admin/restore '' > /dev/null
  start_entry 4 --peers "$(peers)"
  for i in 1 2 3 4 5 6 7 8 9 10; do
    for n in 1 2 3; do
      [ "$(version_at "$n")" -ge 2 ] || before=$((before + 1))
    done
    sleep 0.3
  done
  wait_for "$HANG" all_at_least 2 4 || after=1
  no_load 30 $((30 - before))
  verdict "table restored late: $before of 30 answers older" \
    "[ $before = 0 ] && [ $after = 0 ]"
}
