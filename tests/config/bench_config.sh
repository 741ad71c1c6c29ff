#!/bin/sh
# The whole check of a change of the lists, up to the target size.
build/tests/config/bench_config
