package drainstate

// Endpoint is a worker as the own discovery lists it.
type Endpoint struct {
	Worker  string
	BootID  int64 // ms; 0: unknown
	Ready   bool
	Removed bool
}

// Input is one of EndpointsChanged, RecordsReceived, PeersChanged and Tick.
type Input interface{ input() }

// EndpointsChanged is a snapshot or a delta of the own discovery.
type EndpointsChanged struct {
	Revision  int64
	Snapshot  bool
	Endpoints []Endpoint
}

// RecordsReceived are records of another member.
type RecordsReceived struct{ Records []DrainRecord }

// PeersChanged are the members that are alive now. A new one among them is sent all records.
type PeersChanged struct{ Names []string }

// Tick says that the moment of NextTick has come.
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

// WorkerExcluded says that a worker takes nothing new from this scheduler, though its own discovery still
// lists it.
type WorkerExcluded struct{ Worker string }

func (SendRecords) effect()    {}
func (WorkerExcluded) effect() {}
