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
	version          = 1
	headerSize       = 2 + 1 + 8
	maxDatagramBytes = 1900 // of members; another may hold an answer, and is parted by the network where it is longer
	maxServiceBytes  = 8 << 10
	maxRecordBytes   = 640 // of a claim at its longest, in a message on a stream
	baseFrameBytes   = 64 << 10
	maxArrayElements = 1 << 16
)

// What is wrong with a message. Each is counted.
var (
	errTooLong = errors.New("too long")
	errVersion = errors.New("wrong version")
	errGarbled = errors.New("garbled")
	errOutside = errors.New("outside the networks")
)

type wireRecord struct {
	_           struct{} `cbor:",toarray"`
	Name, Addr  string
	Number      int
	Incarnation uint64
	Nonce       uint64
	Refutations uint64
	State       uint8
	ReportedBy  string
	Age         uint64
}

type wireMessage struct {
	Kind             uint8        `cbor:"1,keyasint"`
	Cluster          string       `cbor:"2,keyasint"`
	From             wireRecord   `cbor:"3,keyasint"`
	Seq              uint64       `cbor:"4,keyasint"`
	Nonce            uint64       `cbor:"5,keyasint,omitempty"`
	Target           string       `cbor:"6,keyasint,omitempty"`
	Addr             string       `cbor:"7,keyasint,omitempty"`
	Records          []wireRecord `cbor:"8,keyasint,omitempty"`
	Digests          []uint64     `cbor:"9,keyasint,omitempty"`
	Buckets          []int        `cbor:"10,keyasint,omitempty"`
	SenderCatchingUp bool         `cbor:"11,keyasint,omitempty"`
	Text             string       `cbor:"12,keyasint,omitempty"`
}

var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 10, MaxArrayElements: maxArrayElements,
		MaxMapPairs: 20, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

func recordToWire(c membership.MemberRecord) wireRecord {
	return wireRecord{Name: c.Name, Addr: c.Addr, Number: c.Number, Incarnation: c.Generation, Nonce: c.Nonce, Refutations: c.Refutations,
		State: uint8(c.State), ReportedBy: c.ReportedBy, Age: c.Age}
}

func recordFromWire(c wireRecord) membership.MemberRecord {
	return membership.MemberRecord{Name: c.Name, Addr: c.Addr, Number: c.Number, Incarnation: membership.Incarnation{Generation: c.Incarnation, Nonce: c.Nonce},
		Refutations: c.Refutations, State: membership.State(c.State), ReportedBy: c.ReportedBy, Age: c.Age}
}

// encode is a message as it is sent.
func encode(x membership.Message) ([]byte, error) {
	w := wireMessage{Kind: uint8(x.Kind), Cluster: x.Cluster, From: recordToWire(x.From), Seq: x.Seq, Nonce: x.Nonce, Target: x.Target,
		Addr: x.Addr, Digests: x.Digests, Buckets: x.Buckets, SenderCatchingUp: x.SenderCatchingUp, Text: x.Text}
	for _, c := range x.Records {
		w.Records = append(w.Records, recordToWire(c))
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	return withHeader('m', body), nil
}

// decode reads a message. Addresses in it that nobody may be told anything at make it unfit as a whole: a member led to one would
// send there.
func decode(text []byte, inside func(netip.Addr) bool) (membership.Message, error) {
	var x membership.Message
	body, err := checkedBody('m', text)
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
	x = membership.Message{Kind: membership.Kind(w.Kind), Cluster: w.Cluster, From: recordFromWire(w.From), Seq: w.Seq, Nonce: w.Nonce,
		Target: w.Target, Addr: w.Addr, Digests: w.Digests, Buckets: w.Buckets, SenderCatchingUp: w.SenderCatchingUp, Text: w.Text}
	for _, c := range w.Records {
		if !addr(c.Addr) {
			return x, errOutside
		}
		x.Records = append(x.Records, recordFromWire(c))
	}
	return x, nil
}

// wireHandover is what one process hands the next.
type wireHandover struct {
	Self    wireRecord   `cbor:"1,keyasint"`
	Seq     uint64       `cbor:"2,keyasint"`
	Records []wireRecord `cbor:"3,keyasint"`
}

func encodeHandover(l membership.HandoverState) ([]byte, error) {
	w := wireHandover{Self: recordToWire(l.Self), Seq: l.Seq}
	for _, c := range l.Records {
		w.Records = append(w.Records, recordToWire(c))
	}
	return cbor.Marshal(w)
}

func decodeHandover(text []byte) (l membership.HandoverState, err error) {
	var w wireHandover
	if err = strict.Unmarshal(text, &w); err != nil {
		return l, fmt.Errorf("members: %w", err)
	}
	l = membership.HandoverState{Self: recordFromWire(w.Self), Seq: w.Seq}
	for _, c := range w.Records {
		l.Records = append(l.Records, recordFromWire(c))
	}
	return l, nil
}

// serviceMessage is a message that is not of membership, with who sends it: of copies or their keepers, or words of workers. The pure types stand in it as
// they are, with keys of their own.
type serviceMessage struct {
	Cluster     string                   `cbor:"1,keyasint"`
	From        wireRecord               `cbor:"2,keyasint"`
	Replication *replication.Message     `cbor:"3,keyasint,omitempty"`
	Drains      []drainstate.DrainRecord `cbor:"4,keyasint,omitempty"`

	ReplicaSet    *replicaset.Message  `cbor:"5,keyasint,omitempty"`
	OperatorState *operatorstate.State `cbor:"6,keyasint,omitempty"`
}

const serviceMark = 'o' // in place of the second letter

func encodeService(w serviceMessage) ([]byte, error) {
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	return withHeader(serviceMark, body), nil
}

func decodeService(text []byte) (w serviceMessage, err error) {
	body, err := checkedBody(serviceMark, text)
	if err == nil && strict.Unmarshal(body, &w) != nil {
		err = errGarbled
	}
	return w, err
}

// withHeader puts the head before a body.
func withHeader(mark byte, body []byte) []byte {
	text := make([]byte, headerSize, headerSize+len(body))
	text[0], text[1], text[2] = 'w', mark, version
	binary.BigEndian.PutUint64(text[3:], xxhash.Sum64(body))
	return append(text, body...)
}

// checkedBody checks the head and takes it off.
func checkedBody(mark byte, text []byte) ([]byte, error) {
	switch {
	case len(text) < headerSize || text[0] != 'w' || text[1] != mark:
		return nil, errGarbled
	case text[2] != version:
		return nil, errVersion
	case xxhash.Sum64(text[headerSize:]) != binary.BigEndian.Uint64(text[3:]):
		return nil, errGarbled
	}
	return text[headerSize:], nil
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
