#!/bin/sh
# Guards against one job whose decision ends each process that takes the lease:
# at most four ends, and all other jobs are served.
set -u
cd "$(dirname "$0")/../.."
make abort-bin || exit 1
soak=${BUILD:-build}/tests/soak/soak
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# play SEED FAULTS
play ()
{
  "$soak" --program=build/abort/bin/skr-batch --dir="$dir/$1" --seed "$1" \
    --seconds 10 --aborting=1 --only "$2" > "$dir/$1.out" 2>&1
  echo $? > "$dir/$1.status"
}

play 20001 'freeze VM' &
play 20004 'kill VM,stop VM' &
wait
failed=0
for seed in 20001 20004; do
  tail -n 2 "$dir/$seed.out"
  if [ "$(cat "$dir/$seed.status")" -ne 0 ] \
      || ! grep -q '^[1-4] processes have ended' "$dir/$seed.out"; then
    failed=1
    echo "FAIL seed $seed"
    grep BREACH "$dir/$seed.out"
    grep -hE '"event":(107|567|568)' "$dir/$seed"/vm*.log
  fi
done
[ "$failed" -eq 0 ]
