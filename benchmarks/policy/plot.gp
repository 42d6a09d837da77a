# Plots the figures of a run of the gates relative to their bounds.
# Usage: gnuplot -e "data='round-1.tsv'; out='round-1.svg'" plot.gp
set terminal svg size 900,480 font "sans,11"
set output out
set style data histograms
set style fill solid 0.7
set yrange [0:1.6]
set ylabel "figure over its bound (1 or less keeps it)"
set xtics rotate by -35
set grid y
set bmargin 9
plot data using 2:xtic(1) lc rgb "#4477aa" notitle, 1 lc rgb "#aa3377" title "bound"
