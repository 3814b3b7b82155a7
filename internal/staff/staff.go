// Package staff keeps what schedulers tell one another of what staff decided for each: which settings it runs by, and whether its clients
// are sent away. It does no input or output and reads no clock.
package staff

import (
	"maps"
	"slices"
)

// Word is what a scheduler says of itself. N grows with each that differs from the one before.
type Word struct {
	Settings uint64 `cbor:"1,keyasint,omitzero"` // a hash of what is the same for all where it should be
	Away     bool   `cbor:"2,keyasint,omitzero"` // its clients are sent away
	N        uint64 `cbor:"3,keyasint,omitzero"`
}

// said is the newest word of a member, and which of its processes said so.
type said struct {
	word Word
	life uint64
}

const most = 4096 // members, as many as a view has by default

// Board is what one scheduler knows.
type Board struct {
	own   Word
	began bool
	heard map[string]said
}

// New is a board with nothing on it. A process that takes over counts on from a later start than the one before.
func New(start uint64) *Board { return &Board{own: Word{N: start}, heard: map[string]said{}} }

// Mine sets the own word; it tells whether that is news, which everybody should hear.
func (b *Board) Mine(settings uint64, away bool) bool {
	if b.began && b.own.Settings == settings && b.own.Away == away {
		return false
	}
	b.began = true
	b.own = Word{settings, away, b.own.N + 1}
	return true
}

// Own is the own word.
func (b *Board) Own() Word { return b.own }

// Heard takes another's word. One that is not newer than what is known changes nothing: of two processes of one name the later one's
// stands, and of one process the later word.
func (b *Board) Heard(name string, life uint64, w Word) {
	was, known := b.heard[name]
	if !known && len(b.heard) >= most || known && (life < was.life || life == was.life && w.N <= was.word.N) {
		return
	}
	b.heard[name] = said{w, life}
}

// Lost forgets a member that is no more.
func (b *Board) Lost(name string) { delete(b.heard, name) }

// Others are the names of which something holds, in order.
func (b *Board) Others(holds func(Word) bool) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(b.heard)) {
		if holds(b.heard[name].word) {
			names = append(names, name)
		}
	}
	return names
}

// Differ are those that run by other settings than this one.
func (b *Board) Differ() []string {
	return b.Others(func(w Word) bool { return w.Settings != b.own.Settings })
}

// Away are those whose clients are sent away.
func (b *Board) Away() []string { return b.Others(func(w Word) bool { return w.Away }) }
