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
set terminal svg size 760,640 background rgb "white" dynamic
set output out."/wave.svg"
set multiplot layout 2,1 title \
    "A wave over 12 hosts with the loss of a rack, at low load"
set xlabel "time (s)"
set ylabel "hosts in service"
set yrange [0:13]
set xrange [0:*]
set key right bottom
# Equal values would hide each other, so the lines differ in width.
do for [k in "8 9"] {
    file = k eq "8" ? "wave_wide.dat" : "wave_tight.dat"
    set title "min\\_hosts ".k
    plot file index 0 using 1:2 lw 5 lc rgb "#88bbee" title "adaptive", \
         "" index 1 using 1:2 lw 2 lc rgb "#cc3311" title "fixed", \
         "" index 2 using 1:2 lw 1 lc rgb "#117733" title "one", \
         real(k) lw 1 lc rgb "black" title "min\\_hosts"
}
unset multiplot
