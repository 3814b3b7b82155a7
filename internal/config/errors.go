package config

import (
	"errors"

	"woaddyke/internal/config/configerror"
)

// ConfigError is a mistake in one key of the bootstrap configuration. Its key is the path within the
// file.
type ConfigError = configerror.Error

// Errors that callers tell apart.
var (
	ErrNoPath               = errors.New("no configuration: name its file with --config or RELAY_CONFIG")
	ErrPeersConfigured      = errors.New("the configuration names peers already")
	ErrPeerMessagesDisabled = errors.New("the settings do not allow messages (bounds.peerMessages)")
)

// missing is the error for a key that the file lacks.
func missing(key string) error { return &ConfigError{Key: key, Problem: "is missing"} }

// invalid is the error for a key that the file has with a wrong value.
func invalid(key string, value any, problem string, args ...any) error {
	if value == nil {
		value = null{}
	}
	return configerror.Invalid(key, value, problem, args...)
}

// null stands for JSON's null in an error, in which nil is no value.
type null struct{}

func (null) String() string { return "null" }
