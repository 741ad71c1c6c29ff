#!/bin/sh
# Tests the verifier: the valid action file of each trace must pass, and each
# of its modified copies must be reported with the expected violation.
set -u
cd "$(dirname "$0")/../.."
verify=${BUILD:-build}/tests/replay/verify
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
count=0

# Converts lines such as "0 worker w0 r0 d0 8 8" to a JSON trace.
trace ()
{
  awk '
    function head(e) { printf "{\"at\":%s,\"ev\":\"%s\"", $1, e }
    $2 == "worker" { head("worker")
      printf ",\"id\":\"%s\",\"rack\":\"%s\",\"domain\":\"%s\"", $3, $4, $5
      printf ",\"accelerators\":%s,\"slots\":%s}\n", $6, $7; next }
    $2 == "plan" { head("plan")
      printf ",\"account\":\"%s\",\"version\":%s,\"guarantee\":", $3, $4
      printf "[{\"size\":%s,\"count\":%s}]}\n", $5, $6; next }
    $2 == "submit" { head("submit")
      printf ",\"job\":\"%s\",\"account\":\"%s\",\"class\":\"%s\"", $3, $4, $5
      printf ",\"tasks\":%s,\"per_task\":%s,\"declared_ms\":1", $6, $7
      printf ",\"actual_ms\":%s%s}\n", $8, $9; next }
    $2 == "cancel" { head($2); printf ",\"job\":\"%s\"}\n", $3; next }
    { head($2); printf ",\"id\":\"%s\"}\n", $3 }' > "$dir/t"
}

# Converts lines such as "0 start x 1 w0:0,1 w1:2" to JSON actions.
actions ()
{
  awk '
    function head(a) { printf "{\"at\":%s,\"act\":\"%s\"", $1, a }
    $2 == "start" { head("start")
      printf ",\"job\":\"%s\",\"attempt\":%s,\"placement\":[", $3, $4
      for (i = 5; i <= NF; i++) { split($i, p, ":")
        printf "%s{\"task\":%d,\"worker\":\"%s\",\"accelerators\":[%s]}", \
          (i > 5 ? "," : ""), i - 5, p[1], p[2] }
      print "]}"; next }
    $2 ~ /^plan/ { head($2)
      printf ",\"account\":\"%s\",\"version\":%s}\n", $3, $4; next }
    $2 == "quarantine" || $2 == "readmit" { head($2)
      printf ",\"worker\":\"%s\"}\n", $3; next }
    $2 == "summary" { head($2); print "}"; next }
    { head($2); printf ",\"job\":\"%s\",\"attempt\":%s}\n", $3, \
      ($4 == "" ? 0 : $4) }' > "$dir/a"
}

# Verifies the actions on standard input: they must give the violation $1, or
# none if it is empty.
expect ()
{
  count=$((count + 1))
  actions
  "$verify" "$dir/t" "$dir/a" 2> "$dir/e"
  code=$?
  if [ -z "$1" ]; then
    [ "$code" -eq 0 ] && return
  elif [ "$code" -eq 1 ] && grep -q "$1" "$dir/e"; then
    return
  fi
  printf 'FAIL expected "%s", exit code %d:\n' "$1" "$code"
  cat "$dir/e"
  failed=$((failed + 1))
}

modify ()
{
  printf '%s\n' "$good" | sed "$1" > "$dir/modified"
  expect "$2" < "$dir/modified"
}

trace <<'END'
0 worker w0 r0 d0 8 8
0 worker w1 r0 d0 8 8
0 worker w2 r1 d0 8 8
0 submit x a bulk 1 4 5000
0 submit y a bulk 1 4 5000
0 submit g a bulk 2 8 5000
0 submit no a bulk 1 9 5000
9000 end -
END
good='0 refused no
0 start x 1 w2:0,1,2,3
0 start y 1 w2:4,5,6,7
0 start g 1 w0:0,1,2,3,4,5,6,7 w1:0,1,2,3,4,5,6,7
5000 done x
5000 done y
5000 done g
9000 summary'
modify '' ''
modify 's/w2:4,5,6,7/w2:3,4,5,6/' 'held twice'
modify 's/w2:4,5,6,7/w2:4,5,6,8/' 'holds accelerator 8'
modify 's/w2:4,5,6,7/w2:4,5,6/' 'wrong number of accelerators'
modify 's/w2:4,5,6,7/w9:4,5,6,7/' 'unknown worker'
modify 's/ w1:0,.*//' 'not started whole'
modify '/start [xy]/d;/done [xy]/d;s/w1:0/w2:0/' 'not adjacent'
modify 's/0 refused no/0 start no 1 w0:0,1,2,3,4,5,6,7/' 'fits nowhere'
modify '/refused/d' 'was not refused'
modify 's/0 refused no/&\n0 refused y/' 'the fleet can hold it'
modify 's/5000 done x/5000 refused x/' 'refused but had been started'
modify 's/5000 done x/4000 done x/' '"x" is not done'
modify '/done x/d' 'not reported'
modify 's/5000 done x/&\n5000 done x/' 'ends twice'
modify 's/5000 done x/5000 failed x/' 'not failed for good'
modify 's/5000 done x/5000 unknown x/' 'is not unknown'
modify 's/5000 done x/5000 cancelled x/' 'cancelled by nobody'
modify 's/5000 done x/5000 requeue x 1/' 'lost nothing'
modify 's/start x 1/start x 2/' 'attempt is not 1'
modify 's/0 start x.*/&\n&/' 'not queued'
modify 's/0 start x/0 start z/' 'was not submitted'
modify 's/0 start x.*/0 quarantine w2\n&/' 'is quarantined'
modify 's/5000 done x/4000 quarantine w0\n&/' 'healthy worker'
modify 's/5000 done x/4000 readmit w0\n&/' 'in use already'
modify '/summary/d' 'no summary'
modify 's/9000 summary/&\n9000 start x 1 w2:0/' 'follows the summary'
modify 's/0 start x.*/&\n0 preempt x\n0 preempt x/' 'is not running'
modify 's/0 start x.*/&\n0 plan_accepted a 1/' 'not asked for'
modify 's/9000 summary/9000 boast x\n&/' 'unknown action'

trace <<'END'
0 worker w0 r0 d0 8 2
0 submit x a bulk 1 1 100
0 submit y a bulk 1 1 100
0 submit z a bulk 1 1 100
100 worker_leaving w0
100 submit q a bulk 1 1 100
150 worker_down w0
9000 end -
END
good='0 start x 1 w0:0
0 start y 1 w0:1
100 done x
100 done y
9000 summary'
modify '' ''
modify 's/0 start y.*/&\n0 start z 1 w0:2/' 'more slots'
modify 's/100 done y/&\n100 start q 1 w0:2/' 'is leaving'
modify 's/100 done y/&\n200 start q 1 w0:2/' 'is down'

trace <<'END'
0 worker w0 r0 d0 8 8
0 submit x a urgent 1 1 1000 ,"repeatable":false
0 submit y a bulk 1 1 1000 ,"repeatable":false
0 submit c a bulk 1 1 1000
10 cancel c
20 worker_down w0
30 worker w0 r0 d0 8 8
9000 end -
END
good='0 start x 1 w0:0
10 cancelled c
20 unknown x
30 start y 1 w0:0
1030 done y
9000 summary'
modify '' ''
modify 's/20 unknown x/20 requeue x 1\n30 start x 2 w0:1/;s/1030.*/&\n1030 done x/' \
  'may not be repeated but was$'
modify 's/20 unknown x/20 requeue x 1/' 'may not be repeated but was requeued'
modify 's/20 unknown x/20 requeue x 2/' 'wrong attempt'
modify '/unknown/d' 'not reported'
modify '/cancelled/d' 'was not cancelled'
modify 's/10 cancelled c/&\n10 preempt x/' 'may not be preempted'

trace <<'END'
0 worker w0 r0 d0 8 8
0 plan a 1 8 1
0 plan b 1 1 1
0 submit x b bulk 1 8 9000
0 submit y b bulk 1 8 9000
1000 submit u a urgent 1 8 1000
2000 plan a 1 4 1
9000 end -
END
good='0 plan_accepted a 1
0 plan_refused b 1
0 start x 1 w0:0,1,2,3,4,5,6,7
1000 preempt x
3000 start u 1 w0:0,1,2,3,4,5,6,7
4000 done u
4000 start x 2 w0:0,1,2,3,4,5,6,7
9000 summary'
modify '' ''
modify 's/plan_refused/plan_accepted/' "that can't be met"
modify 's/plan_accepted a/plan_refused a/' 'refused that can be met'
modify '/plan_refused/d' 'got no answer'
modify 's/3000 start u/2000 plan_accepted a 1\n&/' 'not newer'
modify 's/4000 done u/2000 done u/' 'time goes back'
modify '/start u/d;/done u/d;/start x 2/d' 'waits for its guarantee'
modify '/preempt/d;/start u/d;/done u/d;/start x 2/d' \
  'waits for its guarantee'
modify 's/3000 start u/3000 start y/;/done u/d;/start x 2/d' \
  '"u" waits behind bulk job "y"'
modify 's/3000 start u/2000 start u/;/done/d;/start x 2/d' 'held twice'

trace <<'END'
0 worker w0 r0 d0 8 8
0 submit x a bulk 1 8 9000
2000000 end -
END
good='0 start x 1 w0:0,1,2,3,4,5,6,7
9000 done x
2000000 summary'
modify '' ''
modify '/ x/d' 'waited since 0'

trace <<'END'
0 worker w0 r0 d0 8 8
0 worker_fails_all w0
0 submit x a bulk 8 1 9000
99000 end -
END
good=$(for i in 0 1 2 3 4 5 6 7 8 9 10 11 12 13; do
  printf '%d start x %d w0:0 w0:1 w0:2 w0:3 w0:4 w0:5 w0:6 w0:7\n' \
    $((i * 1000)) $((i + 1))
  printf '%d requeue x %d\n' $((i * 1000 + 1000)) $((i + 1))
done)
modify '$s/$/\n99000 summary/' 'failed too often'
modify '$s/$/\n99000 summary/' 'is not quarantined'

trace <<'END'
0 worker w0 r0 d0 8 8
0 worker w1 r0 d0 8 8
0 worker_fails_all w0
0 submit x a bulk 1 1 2000
99000 end -
END
good='0 start x 1 w0:0
1000 requeue x 1
1000 start x 2 w1:0
3000 done x
99000 summary'
modify '' ''
modify 's/1000 start x 2 w1/1000 start x 2 w0/;s/3000 done/2000 failed/' \
  'not failed for good'

# A running job of 4 leaves 4 of a guaranteed block of 8.
trace <<'END'
0 worker w0 r0 d0 8 8
0 plan a 1 8 1
0 submit x a bulk 1 4 9000
0 submit y b bulk 1 4 9000
1000 submit u a urgent 1 4 1000
9000 end -
END
good='0 plan_accepted a 1
0 start x 1 w0:0,1,2,3
0 start y 1 w0:4,5,6,7
1000 preempt y
3000 start u 1 w0:4,5,6,7
4000 done u
9000 done x
9000 summary'
modify '' ''
modify '/preempt/d;/ u/d;s/9000 done x/&\n9000 done y/' \
  'waits for its guarantee'

# A group may enclose jobs of its account that are not preemptible.
trace <<'END'
0 worker w0 r0 d0 8 8
0 submit x a urgent 1 4 9000
1000 plan a 1 8 1
9000 end -
END
good='0 start x 1 w0:0,1,2,3
1000 plan_accepted a 1
9000 done x
9000 summary'
modify '' ''
modify 's/plan_accepted/plan_refused/' 'refused that can be met'

# A group must not be split between two workers.
trace <<'END'
0 worker w0 r0 d0 8 8
0 worker w1 r0 d0 8 8
0 submit x a urgent 1 4 9000
0 submit y b urgent 1 4 9000
0 submit z b urgent 1 4 5000
1000 plan a 1 8 1
6000 plan a 2 8 1
9000 end -
END
good='0 start x 1 w0:0,1,2,3
0 start y 1 w0:4,5,6,7
0 start z 1 w1:0,1,2,3
1000 plan_refused a 1
5000 done z
6000 plan_accepted a 2
9000 done x
9000 done y
9000 summary'
modify '' ''
modify 's/6000 plan_accepted/6000 plan_refused/' 'refused that can be met'

# A readmitted worker holds no guarantee until its probation ends.
trace <<'END'
0 worker w0 r0 d0 8 8
0 worker_fails_all w0
100 worker_heals w0
2000 plan a 1 8 1
3000 submit x a bulk 1 4 1000
5000 plan a 2 8 1
200000 plan a 3 8 1
200000 end -
END
good='0 quarantine w0
1000 readmit w0
2000 plan_refused a 1
3000 start x 1 w0:0,1,2,3
4000 done x
5000 plan_accepted a 2
200000 plan_accepted a 3
200000 summary'
modify '' ''
modify 's/5000 plan_accepted/5000 plan_refused/' 'refused that can be met'
modify '/ x/d;s/plan_accepted/plan_refused/' \
  'at 200000: a plan was refused that can be met'

# Groups larger than a worker must fit one rack, whatever its worker sizes.
trace <<'END'
0 worker w0 r0 d0 4 8
0 worker w1 r0 d0 2 8
0 worker w2 r0 d0 2 8
0 worker w3 r1 d0 4 8
0 worker w4 r2 d0 4 8
0 plan a 1 8 1
0 plan a 2 8 2
0 plan a 3 16 1
0 plan b 1 4 2
0 plan b 2 4 3
9000 end -
END
good='0 plan_accepted a 1
0 plan_refused a 2
0 plan_refused a 3
0 plan_accepted b 1
0 plan_refused b 2
9000 summary'
modify '' ''
modify 's/plan_refused a 2/plan_accepted a 2/' "that can't be met"
modify 's/plan_refused b 2/plan_accepted b 2/' "that can't be met"

printf '%d modified files, %d failures\n' "$count" "$failed"
[ "$failed" -eq 0 ]
