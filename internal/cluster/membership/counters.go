package membership

// counter is the name of a counted event. The console shows the names as JSON keys.
type counter string

const (
	countWrongCluster       counter = "wrong cluster"
	countInvalid            counter = "garbled"               // a message or record that no member can have sent
	countReplayed           counter = "replayed"              // a message that arrived twice, or too late
	countEarlierIncarnation counter = "superseded"            // a message of an earlier incarnation
	countOwnName            counter = "own message"           // an ignored message under this process's own name
	countStaleReply         counter = "answer to nothing"     // a RecordReply that matches no open query
	countNotRelayed         counter = "not asked for another" // an IndirectPing whose target was not pinged
	countNoReceiver         counter = "word to nobody"        // a user message to a member that is not live
	countLateTick           counter = "late"                  // a tick later than maxTimerLateness
	countRefuted            counter = "refuted"               // a report of this process as suspect or dead
	countQueueFull          counter = "queue full"            // a record that was not queued for gossip
	countViewFull           counter = "no room in the view"   // a member that was not added to a full view
	countInvalidPhase       counter = "invalid phase change"  // an invariant violated; see phaseTransitions
	countInvalidState       counter = "invalid state change"  // an invariant violated; see stateTransitions
)

type counters map[counter]uint64

func (n *Node) count(c counter) { n.counters[c]++ }
