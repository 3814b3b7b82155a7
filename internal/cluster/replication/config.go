package replication

import (
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/config/configerror"
)

// One millisecond and one second in the unit of Time.
const (
	ms     Time = 10
	second Time = 1000 * ms
)

// Config is the configuration of the replication core of one scheduler.
type Config struct {
	Name            string
	Replicas        []string // configured replicas
	DynamicReplicas bool     // the set changes by agreement, and sets that other members announce are adopted
	Seed            uint64
	Nonce           uint64 // random number of this process
	QuorumTimeout   Time   // maximum wait for a majority
	RetryInterval   Time   // time between two requests to a replica that has not answered
	PullInterval    Time   // mean time between two pulls of another replica's changes
	Retention       Time   // time for which a record is stored after it was first seen
	AmnesiaHoldOff  Time   // wait before a replica that lost its records and can't catch up votes
	CatchUpRate     int    // bytes per second that are requested of each replica during catch-up
	LeaveTime       Time   // maximum time for which a scheduler still holds ops after it has left the members
	MaxRecords      int
	MaxBytes        int // maximum estimated size of all records
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
	maxClaimsPerOp    = 16   // a replica grants no more; claims from other replicas are added up to 4 times this
	maxPendingClaims  = 4096 // limit of pending claims, and separately of unfinished outcome reports
	maxAliveMembers   = 4096
	maxReportAttempts = 50 // attempts after which a majority's acknowledgements suffice: others pull the outcome
	maxNameBytes      = 512
	maxReplicas       = replicaset.MaxReplicas

	fetchedPageBytes = 1200 // estimated size of the records in one message
	digestsPerPage   = 128
	maxFetchSize     = 24      // digests in one request
	catchUpBurst     = 5 * ms  // time by which requests may run ahead of CatchUpRate
	catchUpWindow    = 16 * ms // round trip up to which the requests in flight allow CatchUpRate
	catchUpRetries   = 4       // intervals of RetryInterval after which an answer counts as lost
	maxPagesAhead    = 3       // pages of digests whose records are fetched at a time

	maxOutcomeAge = 1 << 40 // maximum age of an outcome, in the unit of Time
)

// Flags in request IDs on the wire. The request IDs of callers are less than both flags.
const (
	groupReportFlag = 1 << 63 // the report names the worker group; without the flag, how the claim ended
	boundClaimFlag  = 1 << 62 // a claim bound to a worker group, or the release of the claim that it replaces
)

// Validate returns an error for an invalid configuration. Its errors name the keys of the features file.
func (c *Config) Validate() error {
	switch {
	case c.QuorumTimeout < 5*ms || c.QuorumTimeout > 60*second:
		return configerror.Invalid("wait", c.QuorumTimeout.Duration(), "must be from 5ms to 60s")
	case c.Retention < second || c.Retention > 7*24*3600*second:
		return configerror.Invalid("remember", c.Retention.Duration(), "must be from 1s to 168h")
	case c.AmnesiaHoldOff < 0 || c.AmnesiaHoldOff > c.Retention:
		return configerror.Invalid("hold_off", c.AmnesiaHoldOff.Duration(), "must be from 0 to remember")
	case c.CatchUpRate < 1<<16:
		return configerror.Invalid("catch_up", c.CatchUpRate, "must be at least 65536")
	case c.MaxRecords < 1 || c.MaxRecords > 10_000_000:
		return configerror.Invalid("most", c.MaxRecords, "must be from 1 to 10000000")
	case c.MaxBytes < 1<<16:
		return configerror.Invalid("most_bytes", c.MaxBytes, "must be at least 65536")
	}
	return replicaset.ValidateNames(c.Replicas)
}
