package config

import (
	"errors"

	"woaddyke/internal/config/configerror"
)

// ConfigError reports an invalid or missing key of the bootstrap configuration. Its Key is the path within
// the file.
type ConfigError = configerror.Error

// Errors that callers compare with errors.Is.
var (
	ErrNoPath               = errors.New("no configuration: name its file with --config or RELAY_CONFIG")
	ErrPeersConfigured      = errors.New("the configuration names peers already")
	ErrPeerMessagesDisabled = errors.New("the settings do not allow messages (bounds.peerMessages)")
)

// missing returns the error for a key that is not in the file.
func missing(key string) error { return &ConfigError{Key: key, Problem: "is missing"} }

// invalid returns the error for a key with an invalid value.
func invalid(key string, value any, problem string, args ...any) error {
	if value == nil {
		value = null{}
	}
	return configerror.Invalid(key, value, problem, args...)
}

// null represents JSON's null as the Value of a ConfigError. A nil Value means that there is no value to
// print.
type null struct{}

func (null) String() string { return "null" }
