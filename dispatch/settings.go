package dispatch

// Effect is how often an op of a category may run.
type Effect string

// The effects, by their names in the settings; any other one is treated as AtMostOnce.
const (
	Idempotent   Effect = "redeliverable"
	Deduplicated Effect = "deduplicated"
	AtMostOnce   Effect = "at-most-once"
)

// DedupScope is where the repeats of a deduplicated op are dropped.
type DedupScope string

// The scopes, by their names in the settings; any other one is treated as DedupInGroup.
const (
	DedupEverywhere DedupScope = "all"
	DedupInZone     DedupScope = "zone"
	DedupInGroup    DedupScope = "cell"
)

// CategoryRules is what the settings say of a category.
type CategoryRules struct {
	Name             string // may be empty, for a category that ops name by its place
	Effect           Effect
	DedupScope       DedupScope
	DedupWindow      Time
	TTL              Time
	LatencyObjective Time
	Stretch          float64 // the objective grows with the service time, by this factor less 1
	Benefit          float64 // of an op, or of its work where Settings.BenefitPerWork is set
}

// Settings are the parameters of a deployment that decisions rest on.
type Settings struct {
	Categories         []CategoryRules
	MaxAttempts        int  // of an op
	Scheduler          int  // this scheduler's number
	Schedulers         int  // how many there are
	Zone               int  // of this scheduler
	TickInterval       Time // between two inputs of the clock, at most
	DialTimeout        Time // a dial takes at most this long; 0 where it is not limited
	AcknowledgeTimeout Time // as long as DialTimeout, with a default
	ProgressInterval   Time // at which workers report how far a job is; 0 where they don't
	MaxRetryAfter      Time // that a nack may name
	SlowStart          SlowStartSettings
	CrossZonePrice     float64 // of an attempt in another zone
	ConnectionPrice    float64 // of an open connection
	Probes             bool    // load probes are allowed
	CancelsAttempts    bool    // an attempt in flight may be cancelled
	ReportsStarts      bool    // workers report that a job has started
	PeerMessages       bool    // schedulers may send messages to each other
	AffinityKeys       bool    // ops with a key prefer the workers of the key's own order
	BenefitPerWork     bool    // a category's benefit is that of its ops' work
}

// SlowStartSettings bounds what a worker that has just started is sent.
type SlowStartSettings struct {
	WarmAfter       Time    // from its start until it has its full capacity
	InitialCapacity float64 // the fraction of its capacity at its start
	OverloadFactor  float64 // of its present capacity, above which it fails
	OverloadWindow  Time    // over which what it is sent is summed up
}

// exchangesPeerReports reports whether schedulers report their attempts in flight to each other.
func (s *Settings) exchangesPeerReports() bool { return s.PeerMessages && s.ConnectionPrice > 0 }
