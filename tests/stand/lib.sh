# Shell functions that start programs on free loopback ports and end them.
# Sourced; needs bash and BIN.
set -u
BIN=${BIN:-bin}
work=$(mktemp -d)
declare -A PID ADDR
failed=0

# Ends every program that was started here, by its process id.
stop_all ()
{
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2> /dev/null
    kill -KILL "${PID[$name]}" 2> /dev/null
  done
  wait 2> /dev/null
  rm -rf "$work"
}
trap stop_all EXIT

# Tenths of a second after which a wait is given up. It bounds a hang; no
# verdict may depend on how much of it passes.
HANG=${HANG:-1200}

# wait_for TENTHS COMMAND...: runs COMMAND until it succeeds.
wait_for ()
{
  local left=$1
  shift
  until "$@" > /dev/null 2>&1; do
    left=$((left - 1))
    [ "$left" -gt 0 ] || return 1
    sleep 0.1
  done
}

# try_start NAME PROGRAM ARGS...: runs it; PID[NAME] and ADDR[NAME] are set
# from its line "listening IP:PORT" or "listening on port PORT". Returns 1 when
# it ends without one.
try_start ()
{
  local name=$1 program=$2 left=$((HANG * 2))
  shift 2
  "$BIN/$program" "$@" > "$work/$name.out" 2> "$work/$name.err" &
  PID[$name]=$!
  until grep -qs '^listening ' "$work/$name.out"; do
    left=$((left - 1))
    if [ "$left" -eq 0 ] || ! kill -0 "${PID[$name]}" 2> /dev/null; then
      crash "$name"
      return 1
    fi
    sleep 0.05
  done
  ADDR[$name]=$(sed -n 's/^listening on port /127.0.0.1:/; s/^listening //
    s/^\(127[0-9.:]*\).*/\1/p' "$work/$name.out" | head -n 1)
}

# start NAME PROGRAM ARGS...: the same; ends the script when it fails.
start ()
{
  try_start "$@" && return
  echo "$2 did not start:"
  cat "$work/$1.err"
  exit 1
}

# stop NAME: asks it to stop and sets STATUS to its exit status.
stop ()
{
  kill -TERM "${PID[$1]}" 2> /dev/null
  wait "${PID[$1]}"
  STATUS=$?
  unset "PID[$1]"
}

# crash NAME: ends it with SIGKILL.
crash ()
{
  kill -KILL "${PID[$1]}" 2> /dev/null
  wait "${PID[$1]}" 2> /dev/null
  unset "PID[$1]"
}

# post ADDRESS PATH BODY [CURL ARGS...]: the answer's body; status in the file
# $work/status.
post ()
{
  local url=http://$1$2 body=$3
  shift 3
  curl -s -m 120 -o "$work/body" -w '%{http_code}' -X POST -d "$body" "$@" \
    "$url" > "$work/status"
  local code=$?
  [ "$code" -eq 0 ] && cat "$work/body"
  return "$code"
}

get ()
{
  curl -s -m 120 "http://$1$2"
}

# expect WHAT WANTED GOT
expect ()
{
  if [ "$2" = "$3" ]; then
    echo "ok   $1"
  else
    echo "FAIL $1: wanted $2, got $3"
    failed=1
  fi
}
