#!/usr/bin/env bash
# Pairs of failures whose verdict is the same each time.
cd "$(dirname "$0")/../.." || exit 1
tests/failures store_slow_entry_killed store_lossy_sched_paused \
  racing_operators_store_down
