#!/usr/bin/env bash
# Measures the traffic that the two lists cause at the table: bytes to each
# daemon while nothing changes, bytes in both directions for a change of one
# account's key, and the time until the other entry VM has applied it.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh
seconds=${SECONDS_EACH:-10}
daemons=3

# make_plans KEY ACCOUNTS: prints a plans list; KEY selects the key digest of
# the first account.
make_plans ()
{
  local i
  for ((i = 1; i <= $2; i++)); do
    [ "$i" -eq 1 ] && printf '[' || printf ','
    printf '{"account":"team-%d","plan":"none","key_digest":"%064x"}' "$i" \
      $((i == 1 ? 100000 + $1 : i))
  done
  printf ']'
}

counters ()
{
  curl -s "http://${ADDR[platform]}/v1/admin/counters" \
    | jq -r '"\(.bytes_out) \(.bytes_in)"'
}

version_is ()
{
  [ "$(operator "$1" /v1/status | jq .plans_version)" = "$2" ]
}

# change VERSION ACCOUNTS: changes the list at e1, waits until e2 has applied
# it, and prints the milliseconds.
change ()
{
  local from
  make_plans "$1" "$2" > "$work/plans"
  from=$(date +%s%3N)
  put_list e1 plans "$1" "@$work/plans" > /dev/null
  wait_for 200 version_is e2 $(($1 + 1))
  echo $(($(date +%s%3N) - from))
}

measure ()
{
  local accounts=$1 version=$2 n before idle slowest=0 took
  change "$version" "$accounts" > /dev/null
  sleep 6
  before=$(counters)
  sleep "$seconds"
  idle=$(counters)
  for n in 1 2 3 4 5 6 7 8 9 10; do
    took=$(change $((version + n)) "$accounts")
    [ "$took" -le "$slowest" ] || slowest=$took
    sleep 1
  done
  echo "$accounts $before $idle $(counters) $seconds $daemons $slowest" \
    | awk '{printf "%8d %10d %14d %12d %6d\n", $1, ($4 - $2) / $8 / $9,
        ($6 - $4) / 10 / $9, ($7 - $5) / 10, $10}'
}

start platform skr-platform
start_entry e1 d1 --log-level 1
start_entry e2 d1 --log-level 1
"$BIN/skr-sched" --vm s1 --domain d1 --log-level 1 \
  --peer "127.0.0.1:$((10000 + RANDOM % 10000))" \
  --platform "http://${ADDR[platform]}" > "$work/s1.out" 2> "$work/s1.err" &
PID[s1]=$!
wait_for 100 put_first allowances '[{"plan":"none","guarantee":[],
  "calls_per_second":10,"concurrent_calls":10,"queued_jobs":10}]'
echo "accounts, bytes/s to each of $daemons daemons while idle, bytes to each"
echo "and bytes written for a change of a key, ms until it is in force"
version=0
for accounts in 8 61 245 490; do
  measure "$accounts" "$version"
  version=$((version + 11))
done
