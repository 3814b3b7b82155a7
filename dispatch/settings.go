package dispatch

// Effect defines how often an op of a category may run.
type Effect string

// Effects, by their names in the settings, where an idempotent op is called redeliverable. An unknown name
// is treated as AtMostOnce.
const (
	Idempotent   Effect = "redeliverable"
	Deduplicated Effect = "deduplicated"
	AtMostOnce   Effect = "at-most-once"
)

// DedupScope is the set of workers within which duplicates of a deduplicated op are dropped.
type DedupScope string

// Deduplication scopes, by their names in the settings, where a worker group is called a cell. An unknown
// name is treated as DedupInGroup.
const (
	DedupEverywhere DedupScope = "all"
	DedupInZone     DedupScope = "zone"
	DedupInGroup    DedupScope = "cell"
)

// CategoryRules are the settings of one category.
type CategoryRules struct {
	Name             string // may be empty if ops refer to the category by its index
	Effect           Effect
	DedupScope       DedupScope
	DedupWindow      Time
	TTL              Time
	LatencyObjective Time
	Stretch          float64 // the latency objective grows by (Stretch - 1) times the service time
	Benefit          float64 // value of an op relative to other categories; see also Settings.BenefitPerWork
}

// Settings are the deployment parameters that decisions depend on.
type Settings struct {
	Categories         []CategoryRules
	MaxAttempts        int  // per op
	Scheduler          int  // this scheduler's number
	Schedulers         int  // number of schedulers
	Zone               int  // of this scheduler
	TickInterval       Time // maximum interval between two calls of AdvanceClock
	DialTimeout        Time // of a dial; 0 if dials have no timeout
	AcknowledgeTimeout Time // the same as DialTimeout, but with a default instead of 0
	ProgressInterval   Time // of the progress reports of workers; 0 if they send none
	MaxRetryAfter      Time // upper limit of the Retry-After of a nack
	SlowStart          SlowStartSettings
	CrossZonePrice     float64 // cost of an attempt in another zone
	ConnectionPrice    float64 // cost of an open connection
	Probes             bool    // load probes are allowed
	CancelsAttempts    bool    // an attempt in flight may be cancelled
	ReportsStarts      bool    // workers report that a job has started
	PeerMessages       bool    // schedulers may send messages to each other
	AffinityKeys       bool    // ops with an affinity key prefer the first workers in the key's rendezvous order
	BenefitPerWork     bool    // CategoryRules.Benefit is per unit of service time, not per op
}

// SlowStartSettings limits the load on a worker whose process has just started.
type SlowStartSettings struct {
	WarmAfter       Time    // time from its start to its full capacity
	InitialCapacity float64 // fraction of the full capacity at its start
	OverloadFactor  float64 // multiple of its present capacity above which it fails
	OverloadWindow  Time    // period over which its load is summed
}

// exchangesPeerReports reports whether schedulers report their attempts in flight to each other.
func (s *Settings) exchangesPeerReports() bool { return s.PeerMessages && s.ConnectionPrice > 0 }
