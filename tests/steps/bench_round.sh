#!/bin/sh
# Cost of a round of decisions about jobs of steps, as the fleet grows.
set -eu
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
make -s "$build/tests/steps/bench_round"
"$build/tests/steps/bench_round"
