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
  verdict "store $2 for 3 s; $(get "${ADDR[platform]}" /v1/admin/counters \
    | jq -r '"\(.writes) writes, at most \(.writes_max_1s) in a second"')"
}

scenario_store_down () { store_fault '{"mode":"down"}' down; }
scenario_store_slow () { store_fault '{"mode":"slow","slow_ms":600}' slow; }
scenario_store_silent () { store_fault '{"mode":"silent"}' silent; }
scenario_store_lossy ()
{
  store_fault '{"mode":"lost","lost_percent":30}' 'losing 30% of its answers'
}

# The platform takes few writes a second: the rest waits or is refused.
scenario_store_limited ()
{
  WRITES=60 cluster 2 6 || return 1
  load --rate 60 --count 200 --deadline-ms 3000 --repeatable-percent 0 \
    --prefix "$scenario" --settle-ms 10000
  verdict "store limited to 60 writes a second"
}
