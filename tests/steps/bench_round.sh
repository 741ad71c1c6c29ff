#!/bin/sh
# Measures the time of the step scheduler's decision rounds by cluster size.
set -eu
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
make -s "$build/tests/steps/bench_round"
"$build/tests/steps/bench_round"
