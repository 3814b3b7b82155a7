package membership

const replayWindowSize = 256 // sequence numbers, a multiple of 64

// replayWindow records the latest sequence numbers of a process, to drop messages that arrive twice or
// too late.
type replayWindow struct {
	highest uint64
	seen    [replayWindowSize / 64]uint64 // one bit for each number, modulo replayWindowSize
}

// accept reports whether a number is new, and records it. A number below the window counts as seen.
func (w *replayWindow) accept(seq uint64) bool {
	if seq > w.highest {
		w.advance(seq)
	} else if w.highest-seq >= replayWindowSize {
		return false
	}
	word, bit := &w.seen[seq%replayWindowSize/64], uint64(1)<<(seq%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// advance moves the window up to a number, and clears the bits of the numbers in between.
func (w *replayWindow) advance(seq uint64) {
	for i := range min(seq-w.highest, replayWindowSize) {
		position := (w.highest + 1 + i) % replayWindowSize
		w.seen[position/64] &^= 1 << (position % 64)
	}
	w.highest = seq
}
