#!/usr/bin/env bash
# The scenarios of tests/failures whose verdict is the same each time.
cd "$(dirname "$0")/../.." || exit 1
tests/failures kill_before_claim kill_after_dispatch same_key_twice \
  store_lossy worker_killed worker_leaves sigterm
