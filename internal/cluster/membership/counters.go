package membership

// counter names an event that is counted. The console shows the names as JSON keys.
type counter string

const (
	countWrongCluster counter = "wrong cluster"
	countGarbled      counter = "garbled"               // a message or record that no member can have sent
	countReplayed     counter = "replayed"              // a message that came twice, or too late
	countReplaced     counter = "superseded"            // a message of an earlier incarnation
	countOwnMessage   counter = "own message"           // of this name, while this process is no member
	countStaleReply   counter = "answer to nothing"     // a RecordReply to no query that is open
	countNotRelayed   counter = "not asked for another" // an IndirectPing that was dropped
	countNoReceiver   counter = "word to nobody"        // a user message to a member that is not live
	countLate         counter = "late"                  // ticks that were late by more than maxTimerLateness
	countRefuted      counter = "refuted"               // suspicions of this process
	countQueueFull    counter = "queue full"            // records that were not queued for gossip
	countNoRoom       counter = "no room in the view"   // members that were not added
	countInvalidPhase counter = "invalid phase change"  // an invariant; see phaseTransitions
	countInvalidState counter = "invalid state change"  // an invariant; see stateTransitions
)

type counters map[counter]uint64

func (n *Node) count(c counter) { n.counters[c]++ }
