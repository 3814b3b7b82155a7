package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
)

// formatVersion is the version of State and Request. A process hands nothing over to one that reads
// another version.
const formatVersion = 3

// Errors that refuse a handover.
var (
	ErrOtherDeployment = errors.New("handover: both discovery and the settings differ: another deployment")
	ErrNoDescriptors   = errors.New("handover: no descriptors left for the successor")
)

// VersionError is a message of a build with another format.
type VersionError struct{ Got, Want int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("handover: version %d, this process reads %d", e.Got, e.Want)
}

// MismatchError is a request of another scheduler.
type MismatchError struct{ Field, Successor, Predecessor string }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("handover: the successor's %s is %q, not %q", e.Field, e.Successor, e.Predecessor)
}

func encode(message any) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return text, nil
}

// decode reads a message of formatVersion alone. version is the field of the message that has its
// version.
func decode(text []byte, message any, version *int) error {
	if err := json.Unmarshal(text, message); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if *version != formatVersion {
		return &VersionError{Got: *version, Want: formatVersion}
	}
	return nil
}
