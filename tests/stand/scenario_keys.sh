# CURVE encryption between the daemons with keys from files, and key rotation.

# Key pairs for these tests only: public key, space, secret key.
KEY_A='l@2Atl9f!LvZ6/.Y:NG5]EGE!8Hr0Bw=naI*D+9A 8p3S(bMuwVE:q<&1]LcjRi-F]x>[5zwQ$:Lc/o]6'
KEY_B='=a]4k]:wu]nu07%^NQr-n26oKqgrV}P8V*JAyUgX UxuS.LaaC5n{JzY=:4[sP3s4sz}u*}lHV7+Uds{4'
KEY_C='Krf@ic9NP]tndF4C8AtO7g=T=.F}Y*OviJww){y8 N3A(h/c9[}[Z6e(RiY2%Lbv$0m?sE{Idjv0!t&Co'

# put_keys NAME OWN [OTHER]: replaces the key file of one process atomically.
# OTHER is a further key pair, of which only the public key is written.
put_keys ()
{
  local other=
  [ $# -lt 3 ] || other=",\"other\":\"${3% *}\""
  printf '{"public":"%s","secret":"%s"%s}' "${2% *}" "${2#* }" "$other" \
    > "$work/keys.new"
  mv "$work/keys.new" "$work/keys.$1"
}

# receives_from N ENTRIES: entry N receives messages of ENTRIES other entries
# and of three schedulers, and has grants for all workers, which come from
# schedulers that receive its messages.
receives_from ()
{
  status_is "$1" "([.peers[]|select(.silent_ms < 3000)]|length) == $2 + 3
    and ([.upstreams[]|select(.granted)]|length) == 6"
}

# all_connected ENTRIES: "receives_from" is true for the entries 1 to 3.
all_connected ()
{
  receives_from 1 "$1" && receives_from 2 "$1" && receives_from 3 "$1"
}

# receives_from_vm4 N: entry N receives messages of entry 4.
receives_from_vm4 () { status_is "$1" 'any(.peers[]; .vm == "vm4")'; }

# load_part COMMAND...: runs COMMAND under a load of calls and jobs and appends
# the result to $work/parts.
part=0
load_part ()
{
  part=$((part + 1))
  load_start --rate 40 --count 60 --jobs-percent 20 --deadline-ms 60000 \
    --prefix "$scenario-$part" --settle-ms 120000
  "$@"
  load_end
  cat "$work/load.json" >> "$work/parts"
}

# rekey NAME OWN [OTHER]: replaces the keys of a process and waits until it has
# read them.
rekey ()
{
  local before
  before=$(log_count "$1" '513 .*error=0')
  put_keys "$@"
  wait_for "$HANG" has_logged "$1" '513 .*error=0' $((before + 1))
}

# rotate OWN [OTHER]: replaces the keys of one process after another under load.
rotate ()
{
  local name
  for name in entry1 sched1 entry2 sched2 entry3 sched3; do
    load_part rekey "$name" "$@"
    rekeyed=$((rekeyed + $(log_count "$name" '513 .*error=0')))
  done
  wait_for "$HANG" all_connected 2 || disconnected=$((disconnected + 1))
}

# wrong_key OWN: starts a listed entry VM with a key that no other process
# accepts.  The others must not receive its messages, although it keeps
# connecting.  With the key OWN in its file, they must, without a restart.
wrong_key ()
{
  local n
  put_keys entry4 "$KEY_C"
  start_entry 4 --peers "$(peers)"
  wait_for "$HANG" status_is 4 '(.upstreams|length) == 6'
  load_part true
  load_part true
  for n in 1 2 3; do
    receives_from_vm4 "$n" && accepted=$((accepted + 1))
  done
  status_is 4 '(.peers|length) == 0' || accepted=$((accepted + 1))
  rekey entry4 "$1"
  wait_for "$HANG" all_connected 3 || disconnected=$((disconnected + 1))
  unlist_vm 4
  stop entry4
}

scenario_curve ()
{
  local name rekeyed=0 accepted=0 disconnected=0
  WITH_KEYS=1
  patient_entries
  for name in entry1 sched1 entry2 sched2 entry3 sched3; do
    put_keys "$name" "$KEY_A"
  done
  cluster 3 6 || return 1
  ENTRIES=$(entries)
  wait_for "$HANG" all_connected 2 || disconnected=1
  wrong_key "$KEY_A"
  rotate "$KEY_A" "$KEY_B"
  rotate "$KEY_B" "$KEY_A"
  rotate "$KEY_B"
  jq -s 'reduce (.[]|to_entries[]|select(.value|type == "number")) as $e
    ({}; .[$e.key] += $e.value)' "$work/parts" > "$work/load.json"
  verdict "messages with a wrong key accepted $accepted times, keys of 6 processes rotated three times, $disconnected times not all connected" \
    "[ $accepted = 0 ] && [ $disconnected = 0 ] && [ $rekeyed = 36 ]" \
    '&& [ "$(count done)" = "$(count sent)" ]'
  unset ENTRIES WITH_KEYS
}
