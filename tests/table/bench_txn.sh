#!/bin/bash
# Compares one transaction with separate writes; each answer of the table takes
# 5 ms.
. tests/stand/lib.sh
start platform skr-platform --listen 127.0.0.1:0 --writes-per-second 100000
post "${ADDR[platform]}" /v1/admin/faults '{"mode":"slow","slow_ms":5}' \
  > /dev/null
build/tests/table/bench_txn "http://${ADDR[platform]}"
