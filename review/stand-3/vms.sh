# Common part of the scripts of this review: starts the stand-in of a case and
# two entry VMs with settings made from deploy/batch.conf.  To be sourced with
# CASE and HERE set; the script's exit status is that of the stand-in.
set -u
ROOT=$(cd "$HERE/../.." && pwd)
STAND=$ROOT/target/review-3/case-$CASE
TROUBLE=${TROUBLE:-1}
VMS=${VMS:-2}
cd "$ROOT" || exit 2
[ -x target/bin/skr-batch ] && [ -x "$STAND" ] || { echo "not built"; exit 2; }
TMP=$(mktemp -d) || exit 2
PIDS=
finish ()
{
  for p in $PIDS; do
    kill -TERM "$p" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$TMP"
}
trap finish EXIT
trap 'exit 2' INT TERM

wait_for ()
{
  for _ in $(seq 100); do
    [ -s "$1" ] && return 0
    sleep 0.1
  done
  return 1
}

# Writes the settings of VM $1 with the ports $2 to $5.
write_settings ()
{
  sed -e "s/{{node}}/vm$1/" -e "s/{{listen.front}}/127.0.0.1:$2/" \
    -e "s/{{listen.readiness}}/127.0.0.1:$3/" \
    -e "s/{{ip}}:7000/127.0.0.1:$4/" \
    -e "s/{{ip}}:{{internal_ports.1}}/127.0.0.1:$5/" \
    -e "s/{{platform.address}}/$STORE/" -e "s/{{bounds.hold_max_ms}}/10000/" \
    -e "s/{{bounds.far_factor}}/3/" -e "s/{{bounds.revoke_ms}}/5000/" \
    -e "s/{{bounds.grace_s}}/6/" -e "s/{{limits.cpu_share}}/0.25/" \
    -e "s/{{#bounds.evacuation_ms}}.*//" -e "s/{{bounds.reclaim_ms}}/2700/" \
    -e "s/{{bounds.stop_ms}}/200/" \
    -e "s/{{bounds.checkpoint_interval_s}}/2/" \
    deploy/batch.conf > "$TMP/vm$1.conf"
  ! grep -q '{{' "$TMP/vm$1.conf"
}

# Runs VM $1, whose addresses are $2, and starts it again after its end, as the
# platform does.
run_vm ()
{
  trap 'kill -CONT "$P" 2>/dev/null; kill -KILL "$P" 2>/dev/null; exit' TERM
  while [ -d "$TMP" ]; do
    target/bin/skr-batch --settings="$TMP/vm$1.conf" >> "$TMP/vm$1.log" 2>&1 &
    P=$!
    echo "$2 $P" > "$TMP/vm$1.part"
    mv "$TMP/vm$1.part" "$TMP/vm$1.line"
    wait "$P" 2>/dev/null
    status=$?
    # Ends by a signal that no case sends: SIGABRT, SIGBUS, SIGFPE, SIGSEGV.
    case $status in
      134 | 135 | 136 | 139) echo "$status" >> "$TMP/vm$1.crashes" ;;
    esac
    sleep 0.5
  done
}

"$STAND" "$TMP" "$HERE/record.txt" "$TROUBLE" "$VMS" &
DRIVER=$!
PIDS="$DRIVER"
wait_for "$TMP/ports" || exit 2
read -r STORE PORTS < "$TMP/ports"
set -- $PORTS
n=0
while [ "$n" -lt "$VMS" ]; do
  n=$((n + 1))
  write_settings "$n" "$1" "$2" "$3" "$4" || exit 2
  run_vm "$n" "127.0.0.1:$1 127.0.0.1:$2" &
  PIDS="$PIDS $!"
  shift 4
done
for n in $(seq "$VMS"); do
  wait_for "$TMP/vm$n.line" || exit 2
  cat "$TMP/vm$n.line" >> "$TMP/vms.part"
done
mv "$TMP/vms.part" "$TMP/vms"
wait "$DRIVER"
STATUS=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$TMP"/*.log "$KEEP_LOGS"
exit "$STATUS"
