#!/usr/bin/env bash
# The scenarios of tests/failures about jobs whose verdict is reproducible.
cd "$(dirname "$0")/../.." || exit 1
tests/failures jobs_entry_killed jobs_store_lossy sched_paused cancel_wave
