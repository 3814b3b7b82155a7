package mesh

import (
	"encoding/binary"
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

// This file is the only one that knows the forms in which schedulers write messages. A message is a header
// and a body in CBOR (RFC 8949). The header is the letter 'w', a letter for the kind of the body, the
// version of the protocol and the xxHash64 of the body. On a stream the length of the message, in 4 bytes,
// goes before it. All numbers of the header are big-endian.
const (
	firstByte        = 'w'
	membershipMark   = 'm'
	serviceMark      = 'o'
	version          = 1
	headerSize       = 2 + 1 + 8
	maxDatagramBytes = 1900     // of a membership message
	maxServiceBytes  = 8 << 10  // of a service message, which IP may fragment
	maxRecordBytes   = 640      // of a member record in a message on a stream
	baseFrameBytes   = 64 << 10 // of a message on a stream without its records
	maxArrayElements = 1 << 16  // in a body
	maxMapPairs      = 20       // in a body
	maxNesting       = 10       // of a body
)

// wireRecord is a member record, an array in the order of the fields. The protocol calls it a claim,
// Refutations turn and ReportedBy by.
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

// wireMessage is a membership message.
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

// wireHandover is what a process hands to its successor.
type wireHandover struct {
	Self    wireRecord   `cbor:"1,keyasint"`
	Seq     uint64       `cbor:"2,keyasint"`
	Records []wireRecord `cbor:"3,keyasint"`
}

// serviceMessage is a message of one of the services that use the mesh, with its sender. The services' own
// types have keys of their own.
type serviceMessage struct {
	Cluster string     `cbor:"1,keyasint"`
	From    wireRecord `cbor:"2,keyasint"`

	// One of these is set.
	Replication   *replication.Message     `cbor:"3,keyasint,omitempty"`
	Drains        []drainstate.DrainRecord `cbor:"4,keyasint,omitempty"`
	ReplicaSet    *replicaset.Message      `cbor:"5,keyasint,omitempty"`
	OperatorState *operatorstate.State     `cbor:"6,keyasint,omitempty"`
}

// strict rejects what no scheduler writes, and bounds what a message can make the decoder allocate.
var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       maxMapPairs,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

func recordToWire(r membership.MemberRecord) wireRecord {
	return wireRecord{
		Name:        r.Name,
		Addr:        r.Addr,
		Number:      r.Number,
		Incarnation: r.Generation,
		Nonce:       r.Nonce,
		Refutations: r.Refutations,
		State:       uint8(r.State),
		ReportedBy:  r.ReportedBy,
		Age:         r.Age,
	}
}

func recordFromWire(w wireRecord) membership.MemberRecord {
	return membership.MemberRecord{
		Name:        w.Name,
		Addr:        w.Addr,
		Number:      w.Number,
		Incarnation: w.incarnation(),
		Refutations: w.Refutations,
		State:       membership.State(w.State),
		ReportedBy:  w.ReportedBy,
		Age:         w.Age,
	}
}

func (w wireRecord) incarnation() membership.Incarnation {
	return membership.Incarnation{Generation: w.Incarnation, Nonce: w.Nonce}
}

// recordsToWire returns nil for no records, so that their key is left out.
func recordsToWire(records []membership.MemberRecord) (wire []wireRecord) {
	for _, record := range records {
		wire = append(wire, recordToWire(record))
	}
	return wire
}

func recordsFromWire(wire []wireRecord) (records []membership.MemberRecord) {
	for _, w := range wire {
		records = append(records, recordFromWire(w))
	}
	return records
}

func messageToWire(m membership.Message) wireMessage {
	return wireMessage{
		Kind:             uint8(m.Kind),
		Cluster:          m.Cluster,
		From:             recordToWire(m.From),
		Seq:              m.Seq,
		Nonce:            m.Nonce,
		Target:           m.Target,
		Addr:             m.Addr,
		Records:          recordsToWire(m.Records),
		Digests:          m.Digests,
		Buckets:          m.Buckets,
		SenderCatchingUp: m.SenderCatchingUp,
		Text:             m.Text,
	}
}

func messageFromWire(w wireMessage) membership.Message {
	return membership.Message{
		Kind:             membership.Kind(w.Kind),
		Cluster:          w.Cluster,
		From:             recordFromWire(w.From),
		Seq:              w.Seq,
		Nonce:            w.Nonce,
		Target:           w.Target,
		Addr:             w.Addr,
		Records:          recordsFromWire(w.Records),
		Digests:          w.Digests,
		Buckets:          w.Buckets,
		SenderCatchingUp: w.SenderCatchingUp,
		Text:             w.Text,
	}
}

// encode returns a membership message as it is sent.
func encode(message membership.Message) ([]byte, error) {
	body, err := cbor.Marshal(messageToWire(message))
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	return withHeader(membershipMark, body), nil
}

// decode reads a membership message. One with any address that is not allowed is rejected as a whole: a
// member that merged its records would send there. The error is a dropCause.
func decode(text []byte, allowed func(netip.Addr) bool) (membership.Message, error) {
	body, err := checkedBody(membershipMark, text)
	if err != nil {
		return membership.Message{}, err
	}
	var w wireMessage
	if strict.Unmarshal(body, &w) != nil {
		return membership.Message{}, errGarbled
	}
	if !usableAddr(w.From.Addr, allowed) {
		return membership.Message{}, errOutside
	}
	for _, record := range w.Records {
		if !usableAddr(record.Addr, allowed) {
			return membership.Message{}, errOutside
		}
	}
	return messageFromWire(w), nil
}

func usableAddr(text string, allowed func(netip.Addr) bool) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && allowed(addr.Addr()) && addr.Port() != 0
}

func encodeHandover(state membership.HandoverState) ([]byte, error) {
	return cbor.Marshal(wireHandover{
		Self:    recordToWire(state.Self),
		Seq:     state.Seq,
		Records: recordsToWire(state.Records),
	})
}

func decodeHandover(text []byte) (membership.HandoverState, error) {
	var w wireHandover
	if err := strict.Unmarshal(text, &w); err != nil {
		return membership.HandoverState{}, fmt.Errorf("members: %w", err)
	}
	return membership.HandoverState{
		Self:    recordFromWire(w.Self),
		Seq:     w.Seq,
		Records: recordsFromWire(w.Records),
	}, nil
}

func encodeService(message serviceMessage) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	return withHeader(serviceMark, body), nil
}

// decodeService reads a service message. The error is a dropCause.
func decodeService(text []byte) (message serviceMessage, err error) {
	body, err := checkedBody(serviceMark, text)
	if err != nil {
		return message, err
	}
	if strict.Unmarshal(body, &message) != nil {
		return message, errGarbled
	}
	return message, nil
}

// isService tells by its header whether a datagram is a service message.
func isService(text []byte) bool { return len(text) > 1 && text[1] == serviceMark }

func withHeader(mark byte, body []byte) []byte {
	text := make([]byte, 0, headerSize+len(body))
	text = append(text, firstByte, mark, version)
	text = binary.BigEndian.AppendUint64(text, xxhash.Sum64(body))
	return append(text, body...)
}

// checkedBody checks the header and returns what follows it. The error is a dropCause.
func checkedBody(mark byte, text []byte) ([]byte, error) {
	if len(text) < headerSize || text[0] != firstByte || text[1] != mark {
		return nil, errGarbled
	}
	if text[2] != version {
		return nil, errVersion
	}
	body := text[headerSize:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(text[3:]) {
		return nil, errGarbled
	}
	return body, nil
}

// writeFrame writes a message with its length to a stream.
func writeFrame(w io.Writer, text []byte) error {
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), uint32(len(text)))
	_, err := w.Write(append(frame, text...))
	return err
}

// readFrame reads a message from a stream. The error is errTooLong for one that is longer than the limit.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if int64(size) > int64(limit) {
		return nil, errTooLong
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, err
	}
	return text, nil
}
