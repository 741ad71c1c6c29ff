#!/usr/bin/env bash
# The scenarios of tests/failures with two simultaneous failures whose verdict
# is reproducible.
cd "$(dirname "$0")/../.." || exit 1
tests/failures store_slow_entry_killed store_lossy_sched_paused \
  racing_operators_store_down
