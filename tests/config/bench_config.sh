#!/bin/sh
# Measures the validation of a change of the lists, up to the target size.
build/tests/config/bench_config
