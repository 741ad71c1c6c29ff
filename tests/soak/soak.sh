#!/bin/sh
# Runs the soak test with new seeds: tests/soak/soak.sh [SEEDS [SECONDS [JOBS]]].
# Logs of failed runs are kept in $DIR.
set -u
cd "$(dirname "$0")/../.."
seeds=${1:-50} seconds=${2:-20} jobs=${3:-3}
make -s all build/tests/soak/soak || exit 2
DIR=${DIR:-$(mktemp -d)}
export DIR
first=$(date +%s)
seq "$first" $((first + seeds - 1)) | xargs -P "$jobs" -I{} sh -c '
  out=$DIR/out.{}
  if build/tests/soak/soak --dir="$DIR/{}" --seed {} --seconds "$0" \
       > "$out" 2>&1; then
    tail -n 1 "$out"
    rm -rf "$DIR/{}" "$out"
  else
    grep BREACH "$out" || tail -n 3 "$out"
  fi' "$seconds"
echo "logs of failed runs are in $DIR"
