#!/bin/sh
# Plots completion time and fragmentation over load from the table of
# bench_policy.sh into build/policy.png.
set -eu
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
[ -s "$build/bench_policy.tsv" ] || tests/replay/bench_policy.sh > /dev/null
gnuplot <<END_PLOT
set terminal pngcairo size 1200,800
set output "$build/policy.png"
set datafile separator "\t"
set multiplot layout 2,2
set key left top
set xlabel "load of the accelerators, percent"
set xrange [68:97]
set yrange [0:*]
rows(mix, policy) = sprintf("< awk -F '\\t' '\$1 == \"%s\" && \$3 == \"%s\"' $build/bench_policy.tsv", mix, policy)
do for [mix in "small large"] {
  set title sprintf("bulk completion p50, mostly %s jobs", mix)
  set ylabel "seconds"
  plot for [p in "default fifo-first-fit best-fit"] \
    rows(mix, p) using 2:(\$6 / 1000) with linespoints title p
  set title sprintf("fragmentation, mostly %s jobs", mix)
  set ylabel "percent"
  plot for [p in "default fifo-first-fit best-fit"] \
    rows(mix, p) using 2:(100 * \$11) with linespoints title p
}
END_PLOT
printf '%s\n' "$build/policy.png"
