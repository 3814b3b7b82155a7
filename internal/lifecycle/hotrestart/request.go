package hotrestart

// Request is a successor's request for a handover. It identifies the successor's scheduler, so that the
// predecessor can check that it is the same scheduler.
type Request struct {
	Version   int    `json:"version"`
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Settings  uint64 `json:"settings"` // hash of the settings that all schedulers share
}

// Encode returns the request as a message.
func (r Request) Encode() ([]byte, error) {
	r.Version = formatVersion
	return encode(r)
}

// DecodeRequest decodes a message with a request.
func DecodeRequest(message []byte) (Request, error) {
	var r Request
	if err := decode(message, &r, &r.Version); err != nil {
		return Request{}, err
	}
	return r, nil
}

// CheckSuccessorOf checks that the sender of this request may replace the predecessor. It must be the same
// scheduler at the same address, with the same discovery address or the same settings. A successor may have
// other settings, or start after discovery has moved. If both differ, the successor belongs to another
// deployment, which must not get the clients, workers and ids of this deployment.
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
