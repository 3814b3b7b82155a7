package replication

import (
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/config/configerror"
)

const (
	ms     Time = 10
	second Time = 1000 * ms
)

// Config is what a scheduler is given at its start.
type Config struct {
	Name            string
	Replicas        []string // as configured
	DynamicReplicas bool     // the set changes by agreement, and sets that other members announce are adopted
	Seed            uint64
	Nonce           uint64 // drawn by this process alone
	QuorumTimeout   Time   // the longest wait for a majority
	RetryInterval   Time   // between two requests to a replica that has not answered
	PullInterval    Time   // the mean time between two pulls of another replica's changes
	Retention       Time   // of a record, from when it was first seen
	AmnesiaHoldOff  Time   // without memory and unable to catch up, a replica waits so long before it votes
	CatchUpRate     int    // bytes a second that are requested of each replica during catch-up
	MaxRecords      int
	MaxBytes        int // of all records, by estimate
}

// Defaults returns the default configuration.
func Defaults() Config {
	return Config{
		QuorumTimeout:  300 * ms,
		RetryInterval:  40 * ms,
		PullInterval:   500 * ms,
		Retention:      600 * second,
		AmnesiaHoldOff: 10 * second,
		CatchUpRate:    4 << 20,
		MaxRecords:     100_000,
		MaxBytes:       64 << 20,
	}
}

// Fixed bounds.
const (
	maxClaimsPerOp    = 16   // that a replica grants; released ones that other replicas knew come on top
	maxPendingClaims  = 4096 // claims without a decision, and outcome reports without a majority, each
	maxAliveMembers   = 4096
	maxReportAttempts = 50 // after which a majority's acknowledgement is enough: the others pull the outcome
	maxNameBytes      = 512
	maxReplicas       = replicaset.MaxReplicas

	fetchedPageBytes = 1200 // of records in one message, by estimate
	digestsPerPage   = 128
	digestsPerFetch  = 24     // about as many records as fit one answer: the rest may be fetched from others
	catchUpBurst     = 5 * ms // by which requests may run ahead of CatchUpRate

	maxAgeTenths = 1 << 40 // the greatest age of an outcome, in tenths of a millisecond
)

// Flags in request IDs on the wire. Callers' own request IDs stay below both.
const (
	groupReportFlag = 1 << 63 // a report of the worker group, as opposed to one of the end
	boundClaimFlag  = 1 << 62 // a claim that has been bound to a worker group
)

// Validate returns what is wrong with the configuration. The keys in its errors are those of the features
// file.
func (t *Config) Validate() error {
	switch {
	case t.QuorumTimeout < 5*ms || t.QuorumTimeout > 60*second:
		return configerror.Invalid("wait", t.QuorumTimeout.Duration(), "must be from 5ms to 60s")
	case t.Retention < second || t.Retention > 7*24*3600*second:
		return configerror.Invalid("remember", t.Retention.Duration(), "must be from 1s to 168h")
	case t.AmnesiaHoldOff < 0 || t.AmnesiaHoldOff > t.Retention:
		return configerror.Invalid("hold_off", t.AmnesiaHoldOff.Duration(), "must be from 0 to remember")
	case t.CatchUpRate < 1<<16:
		return configerror.Invalid("catch_up", t.CatchUpRate, "must be at least 65536")
	case t.MaxRecords < 1 || t.MaxRecords > 10_000_000:
		return configerror.Invalid("most", t.MaxRecords, "must be from 1 to 10000000")
	case t.MaxBytes < 1<<16:
		return configerror.Invalid("most_bytes", t.MaxBytes, "must be at least 65536")
	}
	return replicaset.ValidateNames(t.Replicas)
}
