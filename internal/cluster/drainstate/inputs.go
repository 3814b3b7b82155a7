package drainstate

// Endpoint is an entry for a worker in the endpoint list of this scheduler's discovery. Ready means that the
// worker takes new ops. Removed means that the worker was removed from the list.
type Endpoint struct {
	Worker  string
	BootID  int64 // start time of the worker's process in tenths of a ms; 0: unknown
	Ready   bool
	Removed bool
}

// Input is one of EndpointsChanged, RecordsReceived, PeersChanged and Tick.
type Input interface{ input() }

// EndpointsChanged is a snapshot or a delta of the endpoint list from this scheduler's discovery.
type EndpointsChanged struct {
	Revision  int64
	Snapshot  bool
	Endpoints []Endpoint
}

// RecordsReceived contains records from another member.
type RecordsReceived struct{ Records []DrainRecord }

// PeersChanged lists the members that are alive now. New members are sent all records.
type PeersChanged struct{ Names []string }

// Tick reports that the time returned by NextTick has come.
type Tick struct{}

func (EndpointsChanged) input() {}
func (RecordsReceived) input()  {}
func (PeersChanged) input()     {}
func (Tick) input()             {}

// Effect is one of SendRecords and WorkerExcluded.
type Effect interface{ effect() }

// SendRecords sends records to a member.
type SendRecords struct {
	To      string
	Records []DrainRecord
}

// WorkerExcluded reports that a worker takes no new ops from this scheduler, although the scheduler's
// discovery still lists the worker as ready.
type WorkerExcluded struct{ Worker string }

func (SendRecords) effect()    {}
func (WorkerExcluded) effect() {}
