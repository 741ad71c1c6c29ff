#!/usr/bin/env bash
# Builds each tests/fuzz/fuzz_*.c with libFuzzer and the sanitizers and runs it
# briefly with a fixed seed and number of inputs, so that a result can be
# reproduced.
set -eu
cd "$(dirname "$0")/../.."
RUNS=${RUNS:-40000}
SEED=${SEED:-1}
make -s -j"$(nproc)" fuzz
for program in build/fuzz/tests/fuzz/fuzz_*[!.o]; do
  [ -x "$program" ] || continue
  name=$(basename "$program")
  args=(-runs="$RUNS" -seed="$SEED" -max_len=4096 -timeout=20 -verbosity=0 -malloc_limit_mb=64
    -print_final_stats=1 -artifact_prefix=build/fuzz/"$name"-)
  dict=tests/fuzz/${name#fuzz_}.dict
  [ ! -e "$dict" ] || args+=(-dict="$dict")
  if ! "$program" "${args[@]}" > "build/fuzz/$name.log" 2>&1; then
    tail -n 60 "build/fuzz/$name.log"
    echo "FAIL $name, seed $SEED, $RUNS runs"
    exit 1
  fi
  echo "ok   $name, seed $SEED, $RUNS runs"
done
