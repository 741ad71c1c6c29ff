# Calls while the platform's store fails.

# store_fault FAULT WHAT
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
  verdict "store $2 for 3 s, $(hindered) calls that may be repeated hindered; $(get "${ADDR[platform]}" /v1/admin/counters \
    | jq -r '"\(.writes) writes, at most \(.writes_max_1s) in a second"')" \
    '[ "$(hindered)" = 0 ]'
}

# Calls that may be repeated need no row: those not answered at once.
hindered ()
{
  jq -s '[.[]|select(.repeatable and (.end != "done" or .attempts > 1))]
    |length' "$work/record.jsonl"
}

scenario_store_down () { store_fault '{"mode":"down"}' down; }
scenario_store_slow () { store_fault '{"mode":"slow","slow_ms":600}' slow; }
scenario_store_silent () { store_fault '{"mode":"silent"}' silent; }

# rows_of WHICH: rows in the table of the calls that WHICH, a jq test, selects.
rows_of ()
{
  jq -r "select($1)|.account + \"/\" + .key" "$work/record.jsonl" \
    > "$work/keys"
  get "${ADDR[platform]}" "/v1/rows/requests?limit=10000" \
    | jq -r '.rows[].key' | grep -c -x -F -f "$work/keys"
}

# The fault holds until every call has its end.
scenario_store_lossy ()
{
  cluster 3 6 || return 1
  fault platform '{"mode":"lost","lost_percent":30}'
  load_start --rate 80 --count 480 --deadline-ms 60000 --prefix "$scenario" \
    --settle-ms 60000
  load_end
  fault platform '{"mode":"ok"}'
  verdict "store losing 30% of its answers, $(hindered) calls that may be repeated hindered, $(rows_of .repeatable) rows of theirs" \
    '[ "$(hindered)" = 0 ] && [ "$(rows_of .repeatable)" = 0 ]' \
    '&& [ "$(rows_of ".repeatable|not")" -gt 0 ]'
}

# The platform takes few writes a second: the rest waits or is refused.
scenario_store_limited ()
{
  WRITES=60 cluster 2 6 || return 1
  load --rate 60 --count 200 --deadline-ms 3000 --repeatable-percent 0 \
    --prefix "$scenario" --settle-ms 10000
  verdict "store limited to 60 writes a second"
}

# Callers come back after Retry-After with the same key: each call runs once.
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

# Hundreds of calls meet an outage; the store then takes 300 writes a second.
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
