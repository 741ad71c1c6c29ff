# Shell functions that start programs on free loopback ports and stop them, to
# be sourced by bash scripts.  BIN is the folder of the programs.
set -u
BIN=${BIN:-bin}
work=$(mktemp -d)
declare -A PID ADDR
failed=0

# Kills every program in PID, also a stopped one, and removes the work folder.
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

# Timeout of waits, in tenths of a second.  It only bounds a hang: no result of
# a test may depend on how much of it has passed.
HANG=${HANG:-1200}

# wait_for TENTHS COMMAND...: runs COMMAND every 0.1 s until it succeeds.
# Returns 1 after TENTHS runs without success.
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

# try_start NAME PROGRAM ARGS...: starts PROGRAM in the background and sets
# PID[NAME], and ADDR[NAME] from its output line "listening IP:PORT" or
# "listening on port PORT".  Returns 1 when it ends or hangs without that line.
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

# start NAME PROGRAM ARGS...: like try_start, but exits on a failure.
start ()
{
  try_start "$@" && return
  echo "$2 did not start:"
  cat "$work/$1.err"
  exit 1
}

# stop NAME: sends SIGTERM, waits, and sets STATUS to the exit status.
stop ()
{
  kill -TERM "${PID[$1]}" 2> /dev/null
  wait "${PID[$1]}"
  STATUS=$?
  unset "PID[$1]"
}

# crash NAME: kills the program with SIGKILL.
crash ()
{
  kill -KILL "${PID[$1]}" 2> /dev/null
  wait "${PID[$1]}" 2> /dev/null
  unset "PID[$1]"
}

# post ADDRESS PATH BODY [CURL ARGS...]: prints the body of the answer and
# writes its status to $work/status.  Returns curl's exit code.
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

# get ADDRESS PATH: prints the body of the answer.
get ()
{
  curl -s -m 120 "http://$1$2"
}

# expect WHAT WANTED GOT: prints the result and sets "failed" when they differ.
expect ()
{
  if [ "$2" = "$3" ]; then
    echo "ok   $1"
  else
    echo "FAIL $1: wanted $2, got $3"
    failed=1
  fi
}
