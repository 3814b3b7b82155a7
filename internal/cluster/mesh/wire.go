package mesh

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/operatorstate"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// A message is two letters, the version, a hash of the rest and the rest, in CBOR (RFC 8949). On a stream its length goes before it.
const (
	version         = 1
	headSize        = 2 + 1 + 8
	longestDatagram = 1900 // of members; another may hold an answer, and is parted by the network where it is longer
	longestOther    = 8 << 10
	claimSize       = 640 // of a claim at its longest, in a message on a stream
	streamBase      = 64 << 10
	mostClaims      = 1 << 16
)

// What is wrong with a message. Each is counted.
var (
	errTooLong = errors.New("too long")
	errVersion = errors.New("wrong version")
	errGarbled = errors.New("garbled")
	errOutside = errors.New("outside the networks")
)

type wireClaim struct {
	_           struct{} `cbor:",toarray"`
	Name, Addr  string
	Number      int
	Incarnation uint64
	Nonce       uint64
	Turn        uint64
	State       uint8
	By          string
	Age         uint64
}

type wireMessage struct {
	Kind    uint8       `cbor:"1,keyasint"`
	Cluster string      `cbor:"2,keyasint"`
	From    wireClaim   `cbor:"3,keyasint"`
	Seq     uint64      `cbor:"4,keyasint"`
	Nonce   uint64      `cbor:"5,keyasint,omitempty"`
	Target  string      `cbor:"6,keyasint,omitempty"`
	Addr    string      `cbor:"7,keyasint,omitempty"`
	Claims  []wireClaim `cbor:"8,keyasint,omitempty"`
	Digests []uint64    `cbor:"9,keyasint,omitempty"`
	Buckets []int       `cbor:"10,keyasint,omitempty"`
	Unsure  bool        `cbor:"11,keyasint,omitempty"`
	Text    string      `cbor:"12,keyasint,omitempty"`
}

var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 10, MaxArrayElements: mostClaims,
		MaxMapPairs: 20, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

func toWire(c membership.MemberRecord) wireClaim {
	return wireClaim{Name: c.Name, Addr: c.Addr, Number: c.Number, Incarnation: c.Generation, Nonce: c.Nonce, Turn: c.Refutations,
		State: uint8(c.State), By: c.ReportedBy, Age: c.Age}
}

func fromWire(c wireClaim) membership.MemberRecord {
	return membership.MemberRecord{Name: c.Name, Addr: c.Addr, Number: c.Number, Incarnation: membership.Incarnation{Generation: c.Incarnation, Nonce: c.Nonce},
		Refutations: c.Turn, State: membership.State(c.State), ReportedBy: c.By, Age: c.Age}
}

// encode is a message as it is sent.
func encode(x membership.Message) ([]byte, error) {
	w := wireMessage{Kind: uint8(x.Kind), Cluster: x.Cluster, From: toWire(x.From), Seq: x.Seq, Nonce: x.Nonce, Target: x.Target,
		Addr: x.Addr, Digests: x.Digests, Buckets: x.Buckets, Unsure: x.SenderCatchingUp, Text: x.Text}
	for _, c := range x.Records {
		w.Claims = append(w.Claims, toWire(c))
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	return headed('m', body), nil
}

// decode reads a message. Addresses in it that nobody may be told anything at make it unfit as a whole: a member led to one would
// send there.
func decode(text []byte, inside func(netip.Addr) bool) (membership.Message, error) {
	var x membership.Message
	body, err := bodyOf('m', text)
	if err != nil {
		return x, err
	}
	var w wireMessage
	if err := strict.Unmarshal(body, &w); err != nil {
		return x, errGarbled
	}
	addr := func(a string) bool {
		p, err := netip.ParseAddrPort(a)
		return err == nil && inside(p.Addr()) && p.Port() != 0
	}
	if !addr(w.From.Addr) {
		return x, errOutside
	}
	x = membership.Message{Kind: membership.Kind(w.Kind), Cluster: w.Cluster, From: fromWire(w.From), Seq: w.Seq, Nonce: w.Nonce,
		Target: w.Target, Addr: w.Addr, Digests: w.Digests, Buckets: w.Buckets, SenderCatchingUp: w.Unsure, Text: w.Text}
	for _, c := range w.Claims {
		if !addr(c.Addr) {
			return x, errOutside
		}
		x.Records = append(x.Records, fromWire(c))
	}
	return x, nil
}

// wireLegacy is what one process hands the next.
type wireLegacy struct {
	Me     wireClaim   `cbor:"1,keyasint"`
	Seq    uint64      `cbor:"2,keyasint"`
	Claims []wireClaim `cbor:"3,keyasint"`
}

func encodeLegacy(l membership.HandoverState) ([]byte, error) {
	w := wireLegacy{Me: toWire(l.Self), Seq: l.Seq}
	for _, c := range l.Records {
		w.Claims = append(w.Claims, toWire(c))
	}
	return cbor.Marshal(w)
}

func decodeLegacy(text []byte) (l membership.HandoverState, err error) {
	var w wireLegacy
	if err = strict.Unmarshal(text, &w); err != nil {
		return l, fmt.Errorf("members: %w", err)
	}
	l = membership.HandoverState{Self: fromWire(w.Me), Seq: w.Seq}
	for _, c := range w.Claims {
		l.Records = append(l.Records, fromWire(c))
	}
	return l, nil
}

// wireOther is a message that is not of membership, with who sends it: of copies or their keepers, or words of workers. The pure types stand in it as
// they are, with keys of their own.
type wireOther struct {
	Cluster string                   `cbor:"1,keyasint"`
	From    wireClaim                `cbor:"2,keyasint"`
	Copies  *replication.Message     `cbor:"3,keyasint,omitempty"`
	Workers []drainstate.DrainRecord `cbor:"4,keyasint,omitempty"`

	Keepers *replicaset.Message  `cbor:"5,keyasint,omitempty"`
	Staff   *operatorstate.State `cbor:"6,keyasint,omitempty"`
}

const otherMark = 'o' // in place of the second letter

func encodeOther(w wireOther) ([]byte, error) {
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	return headed(otherMark, body), nil
}

func decodeOther(text []byte) (w wireOther, err error) {
	body, err := bodyOf(otherMark, text)
	if err == nil && strict.Unmarshal(body, &w) != nil {
		err = errGarbled
	}
	return w, err
}

// headed puts the head before a body.
func headed(mark byte, body []byte) []byte {
	text := make([]byte, headSize, headSize+len(body))
	text[0], text[1], text[2] = 'w', mark, version
	binary.BigEndian.PutUint64(text[3:], xxhash.Sum64(body))
	return append(text, body...)
}

// bodyOf checks the head and takes it off.
func bodyOf(mark byte, text []byte) ([]byte, error) {
	switch {
	case len(text) < headSize || text[0] != 'w' || text[1] != mark:
		return nil, errGarbled
	case text[2] != version:
		return nil, errVersion
	case xxhash.Sum64(text[headSize:]) != binary.BigEndian.Uint64(text[3:]):
		return nil, errGarbled
	}
	return text[headSize:], nil
}

// writeFrame and readFrame are of streams.
func writeFrame(w io.Writer, text []byte) error {
	head := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), uint32(len(text)))
	_, err := w.Write(append(head, text...))
	return err
}

func readFrame(r io.Reader, most int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if int64(n) > int64(most) {
		return nil, errTooLong
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, err
	}
	return text, nil
}
