# Calls while the platform's store fails.

# store_fault FAULT WHAT: sets FAULT for 3 s under a load of calls.  Calls that
# may be repeated need no row, so they must not be affected.
store_fault ()
{
  cluster 3 6 || return 1
  load_start --rate 80 --count 480 --deadline-ms 3000 --prefix "$scenario" \
    --settle-ms 15000
  sleep 1
  fault platform "$1"
  sleep 3
  fault platform '{"mode":"ok"}'
  load_end
  verdict "store $2 for 3 s, $(affected) calls that may be repeated affected; $(get "${ADDR[platform]}" /v1/admin/counters \
    | jq -r '"\(.writes) writes, at most \(.writes_max_1s) in a second"')" \
    '[ "$(affected)" = 0 ]'
}

# Prints how many calls that may be repeated were not done at the first attempt.
affected ()
{
  jq -s '[.[]|select(.repeatable and (.end != "done" or .attempts > 1))]
    |length' "$work/record.jsonl"
}

scenario_store_down () { store_fault '{"mode":"down"}' down; }
scenario_store_slow () { store_fault '{"mode":"slow","slow_ms":600}' slow; }
scenario_store_silent () { store_fault '{"mode":"silent"}' silent; }

# rows_of WHICH: prints how many of the calls that the jq test WHICH selects
# have a row in the table.
rows_of ()
{
  jq -r "select($1)|.account + \"/\" + .key" "$work/record.jsonl" \
    > "$work/keys"
  get "${ADDR[platform]}" "/v1/rows/requests?limit=10000" \
    | jq -r '.rows[].key' | grep -c -x -F -f "$work/keys"
}

# The store loses answers until every call has ended.
scenario_store_lossy ()
{
  cluster 3 6 || return 1
  fault platform '{"mode":"lost","lost_percent":30}'
  load_start --rate 80 --count 480 --deadline-ms 60000 --prefix "$scenario" \
    --settle-ms 60000
  load_end
  fault platform '{"mode":"ok"}'
  verdict "store losing 30% of its answers, $(affected) calls that may be repeated affected, $(rows_of .repeatable) rows of theirs" \
    '[ "$(affected)" = 0 ] && [ "$(rows_of .repeatable)" = 0 ]' \
    '&& [ "$(rows_of ".repeatable|not")" -gt 0 ]'
}

# The platform accepts 60 writes a second; the remaining ones wait or are
# refused.
scenario_store_limited ()
{
  WRITES=60 cluster 2 6 || return 1
  load --rate 60 --count 200 --deadline-ms 3000 --repeatable-percent 0 \
    --prefix "$scenario" --settle-ms 10000
  verdict "store limited to 60 writes a second"
}

# Callers retry with the same key after Retry-After.  Each call must run once.
scenario_store_down_again ()
{
  cluster 3 6 || return 1
  load_start --rate 80 --count 320 --deadline-ms 3000 --prefix "$scenario" \
    --settle-ms 20000 --again 10 --repeatable-percent 0
  sleep 1
  fault platform '{"mode":"down"}'
  sleep 2
  fault platform '{"mode":"ok"}'
  load_end
  verdict "store down for 2 s, refused calls asked again" \
    '[ "$(count done)" = 320 ]'
}

# Hundreds of calls accumulate in an outage; the store then accepts 300 writes a
# second.
scenario_store_catch_up ()
{
  WRITES=300 cluster 3 9 || return 1
  load_start --rate 120 --count 720 --deadline-ms 8000 \
    --repeatable-percent 0 --prefix "$scenario" --settle-ms 15000
  sleep 1
  fault platform '{"mode":"down"}'
  sleep 3
  fault platform '{"mode":"ok"}'
  load_end
  verdict "store down for 3 s, then 300 writes a second; $(get \
    "${ADDR[platform]}" /v1/admin/counters | jq -r '"\(.writes) writes for \(.ops) rows, at most \(.writes_max_1s) in a second, \(.refused) over the rate"')"
}
