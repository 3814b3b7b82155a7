package dispatch

import (
	"math"
	"slices"

	"woaddyke/internal/base/stats"
)

// Which of the workers that were asked an op goes to, and how long it is to wait there.

// patience is the longest wait worth a push: half the time to spare, as other schedulers fill queues unseen;
// less for cheap ops, since each place they take is one that a dear op lacks; and little enough that ops with
// much time to spare don't fill the queues that short ones need.
func (d *Dispatcher) patience(o *op) Time {
	return max(min(Time(d.rank(o)/2*float64(d.spare(o))), 2*d.least), 0)
}

// wait is how long an op would wait at a worker: its place in the queue, and how long a place took of late.
func (d *Dispatcher) wait(o *op, i int) Time {
	took, n := d.took, d.placed
	for _, p := range d.workers[i].places {
		took, n = took+3*p.took, n+3*p.place // its own places tell more than those of the others, but there are few
	}
	return Time(d.place(o, i) / max(n, 1) * float64(took))
}

// place is where in a worker's queue the op would stand; 0 if it starts at once.
func (d *Dispatcher) place(o *op, i int) float64 {
	w := &d.workers[i]
	if n, slots, ok := d.tally(i); ok {
		return max(n+o.slots-slots, 0)
	}
	if d.figures().misled {
		n := 0
		for _, p := range w.out {
			n += stats.Bit(p.started == 0)
		}
		return float64(n)
	}
	r := w.last()
	if r == nil || d.fits(o, i) {
		return 0
	}
	lack, queue := 1.0, math.Round(max(r.load.QueuedJobs, 0))+float64(len(d.since(i, r.asked)))
	if queue == 0 && r.load.FreeSlots >= 0 && r.load.FreeSlots < o.slots-0.5 {
		lack = (o.slots - r.load.FreeSlots) / o.slots // one busy slot of four is not a whole place to wait for
	}
	return queue + lack
}

// choose is the design's placement: Low before High, random among two Low; else the lower count; else
// the worker that answered; else a random ready one.
func (d *Dispatcher) choose(o *op) int {
	var may []int
	for k, i := range o.pair {
		w := &d.workers[i]
		if o.got[k] && d.allowed(o, i) && (!d.cold(w) || w.last() != nil && d.fits(o, i)) {
			may = append(may, i)
		}
	}
	switch len(may) {
	case 0:
		from := d.candidates(o)
		warm := slices.DeleteFunc(slices.Clone(from), func(i int) bool { return d.cold(&d.workers[i]) })
		if n := len(from); n > 0 && !d.settings.Probes { // asked once, or twice as in a pair where all are cold
			if i := from[d.chance.Below(n)]; !d.spared(o, &d.workers[i], n*(1+stats.Bit(len(warm) == 0))) {
				return i
			}
		}
		if len(warm) > 0 {
			return warm[d.chance.Below(len(warm))]
		}
		return -1
	case 1:
		return may[0]
	}
	t := float64(d.threshold())
	if _, _, ok := d.tally(may[0]); d.figures().misled && !ok {
		t = -1 // nobody is known to be Low: the lower count of own pushes wins, else the draw
	}
	x, y := d.count(may[0]), d.count(may[1])
	lowX, lowY := x <= t && d.fits(o, may[0]), y <= t && d.fits(o, may[1])
	if lowX == lowY {
		// A slow worker with a short queue still counts as Low, and what it takes finishes late.
		x, y := d.finish(o, may[0]), d.finish(o, may[1])
		if float64(max(x, y)) > telling*float64(min(x, y)) {
			return may[stats.Bit(y < x)]
		}
	}
	nearX, nearY := d.near(may[0]), d.near(may[1])
	switch {
	case lowX && lowY && nearX != nearY:
		return may[stats.Bit(nearY)] // crossing is paid for, and buys nothing while both are Low
	case lowX && lowY || lowX == lowY && x == y:
		return may[d.chance.Below(2)]
	}
	return may[stats.Bit(lowY || !lowX && y < x)]
}

// finish is when the op would end on a worker, from now.
func (d *Dispatcher) finish(o *op, i int) Time {
	return d.wait(o, i) + Time(d.slow(i)*float64(d.expected(o)))
}

// expected is how long the op would run on an ordinary worker.
func (d *Dispatcher) expected(o *op) Time {
	if o.work > 0 {
		return o.work
	}
	if c := &d.categories[o.cat]; len(c.runs) == 0 {
		return c.LatencyObjective
	}
	return d.categories[o.cat].middle
}

// slow is how much longer than expected jobs run on a worker; while samples are few, its kind's weigh in.
func (d *Dispatcher) slow(i int) float64 {
	w := &d.workers[i]
	return d.kinds[w.kind].strides.Middle(w.strides)
}

// fits guards against Low workers on which a wide op must wait for room while others wait behind it.
func (d *Dispatcher) fits(o *op, i int) bool {
	if n, slots, ok := d.tally(i); ok {
		return n+o.slots < slots+0.5
	}
	r := d.workers[i].last()
	if r == nil {
		return true
	}
	free, memory := r.load.FreeSlots, r.load.FreeMemory
	own := d.since(i, r.asked)
	if len(own) == 0 && r.load.RunningJobs >= 0 && r.load.RunningJobs < 0.5 {
		return true // a noisy count of free slots made wide ops pass by workers that hold nothing
	}
	for _, p := range own {
		free, memory = free-p.slots, memory-p.memory
	}
	return (r.load.FreeSlots < 0 || free > o.slots-0.5) && (r.load.FreeMemory < 0 || memory >= o.memory) &&
		r.load.QueuedJobs < 0.5
}

// last is a worker's newest reading, nil before there is one.
func (w *worker) last() *reading {
	if len(w.readings) == 0 {
		return nil
	}
	return &w.readings[len(w.readings)-1]
}

// since are this scheduler's pushes to a worker that a report asked for then need not show.
func (d *Dispatcher) since(i int, asked Time) (out []*op) {
	for _, o := range d.workers[i].out {
		if o.sentAt >= asked-reportLag {
			out = append(out, o)
		}
	}
	return out
}

// count is a worker's jobs: its last report and this scheduler's own pushes since.
func (d *Dispatcher) count(i int) float64 {
	w := &d.workers[i]
	if n, _, ok := d.tally(i); ok || d.figures().misled {
		return n
	}
	r := w.last()
	if r == nil {
		return 0
	}
	return math.Round(r.load.RunningJobs) + float64(len(d.since(i, r.asked)))
}
