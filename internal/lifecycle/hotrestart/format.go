package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
)

// formatVersion is the version of State and Request. A process rejects messages of another version, so
// processes with different versions hand nothing over.
const formatVersion = 3

// Errors for which a handover is refused.
var (
	ErrOtherDeployment = errors.New("handover: both discovery and the settings differ: another deployment")
	ErrNoDescriptors   = errors.New("handover: no descriptors left for the successor")
)

// VersionError reports a message of a build with another format version.
type VersionError struct{ Got, Want int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("handover: version %d, this process reads %d", e.Got, e.Want)
}

// MismatchError reports a request of another scheduler.
type MismatchError struct{ Field, Successor, Predecessor string }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("handover: the successor's %s is %q, not %q", e.Field, e.Successor, e.Predecessor)
}

func encode(message any) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("handover: encoding the message: %w", err)
	}
	return text, nil
}

// decode decodes a message and checks that its version is formatVersion. version points to the message's
// version field.
func decode(text []byte, message any, version *int) error {
	if err := json.Unmarshal(text, message); err != nil {
		return fmt.Errorf("handover: decoding the message: %w", err)
	}
	if *version != formatVersion {
		return &VersionError{Got: *version, Want: formatVersion}
	}
	return nil
}
