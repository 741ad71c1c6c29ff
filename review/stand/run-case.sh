# Runs the built stand-in of a case; sourced by its run.sh with the case's
# number in CASE.  Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-$CASE
if [ ! -x "$program" ] || [ ! -x target/bin/skr-batch ]; then
  echo "build first: the build command of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
export TROUBLE=${TROUBLE:-1}
RECORD=review/$CASE/record.txt
WORK_DIR=$(mktemp -d) || exit 2
export RECORD WORK_DIR
timeout -k 5 115 "$program"
status=$?
# Ends what a driver that was killed has left.
if [ -e "$WORK_DIR/pids" ]; then
  while read -r pid; do
    kill -KILL "$pid" 2>/dev/null
  done < "$WORK_DIR/pids"
fi
[ -z "${KEEP_LOGS:-}" ] && rm -rf "$WORK_DIR"
[ "$status" -le 1 ] || status=2
exit "$status"
