# Run by `make bench` in the build directory, with `out` set to the directory
# for the pictures.
set terminal svg size 760,420 background rgb "white" dynamic
set grid
set style data lines

set output out."/waiting.svg"
set title "Waiting by percentile, fair and fifo (seed 11)"
set xlabel "percentile"
set ylabel "waiting (ms)"
set logscale y
set yrange [1:100000]
set xrange [0:100]
set key left top
plot "waiting.dat" index 0 using 1:2 lw 2 title "fair, short work", \
     "" index 0 using 1:3 lw 2 title "fair, long work", \
     "" index 0 using 1:4 lw 2 title "fair, urgent work", \
     "" index 1 using 1:2 lw 2 title "fifo, short work", \
     "" index 1 using 1:3 lw 2 title "fifo, long work", \
     "" index 1 using 1:4 lw 2 title "fifo, urgent work"

unset logscale
set output out."/wave.svg"
set title "A wave over 12 hosts with the loss of a rack"
set xlabel "time (s)"
set ylabel "hosts in service"
set yrange [0:13]
set xrange [*:*]
set key right bottom
plot "wave.dat" index 0 using 1:2 lw 2 title "adaptive", \
     "" index 1 using 1:2 lw 2 title "fixed", \
     "" index 2 using 1:2 lw 2 title "one", \
     9 lw 1 lc rgb "black" title "min\\_hosts"
