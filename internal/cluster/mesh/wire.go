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

// Only this file knows the wire format. A message is a header and a body in CBOR (RFC 8949). The header is
// the letter 'w', a letter for the kind of the body, the version of the protocol and the xxHash64 of the
// body. On a stream, each message follows its length in 4 bytes. The length and the numbers of the header are
// big-endian.
const (
	magicByte                   = 'w'
	membershipKind              = 'm'
	serviceKind                 = 'o'
	version                     = 1
	headerSize                  = 2 + 1 + 8
	maxDatagramBytes            = 1900     // largest size of a membership message in a datagram
	maxServiceBytes             = 60 << 10 // largest size of a service message, which IP may fragment
	maxRecordBytes              = 640      // largest size of a member record in a message on a stream
	maxFrameBytesWithoutRecords = 64 << 10 // largest size of a message on a stream, not counting its records
	maxArrayElements            = 1 << 16  // most elements of an array in a body
	maxMapPairs                 = 20       // most pairs of a map in a body
	maxNesting                  = 10       // most nested levels of a body
)

// wireRecord is a member record, encoded as an array in the order of the fields. The protocol calls the
// record "claim", Refutations "turn" and ReportedBy "by".
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

// wireMessage is a membership message as it is encoded.
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

// wireHandover is the encoded state that a process hands over to its successor.
type wireHandover struct {
	Self    wireRecord   `cbor:"1,keyasint"`
	Seq     uint64       `cbor:"2,keyasint"`
	Records []wireRecord `cbor:"3,keyasint"`
}

// serviceMessage is a message of a service that uses the mesh, with its sender. The types of the services
// define their own CBOR keys.
type serviceMessage struct {
	Cluster string     `cbor:"1,keyasint"`
	From    wireRecord `cbor:"2,keyasint"`

	// Exactly one of these fields is set.
	Replication   *replication.Message     `cbor:"3,keyasint,omitempty"`
	Drains        []drainstate.DrainRecord `cbor:"4,keyasint,omitempty"`
	ReplicaSet    *replicaset.Message      `cbor:"5,keyasint,omitempty"`
	OperatorState *operatorstate.State     `cbor:"6,keyasint,omitempty"`
}

// strictDecoding rejects CBOR that the encoder never produces, and bounds the memory that a message makes the
// decoder allocate.
var strictDecoding = func() cbor.DecMode {
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

// recordsToWire returns nil if there are no records, so that the encoder omits the key.
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

// encode returns the encoded membership message with its header.
func encode(message membership.Message) ([]byte, error) {
	body, err := cbor.Marshal(messageToWire(message))
	if err != nil {
		return nil, fmt.Errorf("mesh: encoding a membership message: %w", err)
	}
	return withHeader(membershipKind, body), nil
}

// decode decodes a membership message. A message with an address that is not allowed is rejected with all its
// records, because a member that merged them would send messages to that address. The error is a dropCause.
func decode(data []byte, allowed func(netip.Addr) bool) (membership.Message, error) {
	body, err := checkedBody(membershipKind, data)
	if err != nil {
		return membership.Message{}, err
	}
	var w wireMessage
	if strictDecoding.Unmarshal(body, &w) != nil {
		return membership.Message{}, errMalformed
	}
	if !isUsableAddr(w.From.Addr, allowed) {
		return membership.Message{}, errOutsideNetworks
	}
	for _, record := range w.Records {
		if !isUsableAddr(record.Addr, allowed) {
			return membership.Message{}, errOutsideNetworks
		}
	}
	return messageFromWire(w), nil
}

func isUsableAddr(text string, allowed func(netip.Addr) bool) bool {
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

func decodeHandover(data []byte) (membership.HandoverState, error) {
	var w wireHandover
	if err := strictDecoding.Unmarshal(data, &w); err != nil {
		return membership.HandoverState{},
			fmt.Errorf("members: decoding the state handed over by the predecessor: %w", err)
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
		return nil, fmt.Errorf("mesh: encoding a service message: %w", err)
	}
	return withHeader(serviceKind, body), nil
}

// decodeService decodes a service message. The error is a dropCause.
func decodeService(data []byte) (message serviceMessage, err error) {
	body, err := checkedBody(serviceKind, data)
	if err != nil {
		return message, err
	}
	if strictDecoding.Unmarshal(body, &message) != nil {
		return message, errMalformed
	}
	return message, nil
}

// isServiceMessage reports whether the header of a datagram is that of a service message.
func isServiceMessage(data []byte) bool { return len(data) > 1 && data[1] == serviceKind }

func withHeader(kind byte, body []byte) []byte {
	data := make([]byte, 0, headerSize+len(body))
	data = append(data, magicByte, kind, version)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	return append(data, body...)
}

// checkedBody checks the header and returns the body. The error is a dropCause.
func checkedBody(kind byte, data []byte) ([]byte, error) {
	if len(data) < headerSize || data[0] != magicByte || data[1] != kind {
		return nil, errMalformed
	}
	if data[2] != version {
		return nil, errWrongVersion
	}
	body := data[headerSize:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[3:]) {
		return nil, errMalformed
	}
	return body, nil
}

// writeFrame writes the length of a message and the message to a stream.
func writeFrame(w io.Writer, data []byte) error {
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), uint32(len(data)))
	_, err := w.Write(append(frame, data...))
	return err
}

// readFrame reads a message from a stream. It returns errTooLong for a message longer than limit bytes.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if int64(size) > int64(limit) {
		return nil, errTooLong
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	return data, nil
}
