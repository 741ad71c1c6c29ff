#!/bin/sh
# The policies side by side, and the cost of one event as the fleet doubles.
set -eu
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
make -s "$build/tests/decide/bench_policy" "$build/tests/decide/bench_cost"
"$build/tests/decide/bench_policy" 1 1 1
"$build/tests/decide/bench_cost"
