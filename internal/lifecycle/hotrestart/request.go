package hotrestart

// Request is a successor's request for a handover. It says which scheduler the successor is, so that a
// predecessor can compare itself.
type Request struct {
	Version   int    `json:"version"`
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Settings  uint64 `json:"settings"` // their hash, without what differs between schedulers
}

// Encode returns the message with the request.
func (r Request) Encode() ([]byte, error) {
	r.Version = formatVersion
	return encode(r)
}

// DecodeRequest reads the message with a request.
func DecodeRequest(message []byte) (Request, error) {
	var r Request
	if err := decode(message, &r, &r.Version); err != nil {
		return Request{}, err
	}
	return r, nil
}

// CheckSuccessorOf checks that the process that makes this request may take the place of another: it must
// be the same scheduler at the same address, with the same discovery or the same settings. A successor
// may bring other settings, or start after discovery has moved. With both it belongs to another
// deployment, which must not get this one's clients, workers and ids.
func (r Request) CheckSuccessorOf(predecessor Request) error {
	switch {
	case r.Name != predecessor.Name:
		return &MismatchError{Field: "name", Successor: r.Name, Predecessor: predecessor.Name}
	case r.Listen != predecessor.Listen:
		return &MismatchError{Field: "listen address", Successor: r.Listen, Predecessor: predecessor.Listen}
	case r.Discovery != predecessor.Discovery && r.Settings != predecessor.Settings:
		return ErrOtherDeployment
	}
	return nil
}
