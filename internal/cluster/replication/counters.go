package replication

// Names of the counters in Status. Operators and programs read them, so the texts stay. Beside them the
// results of claims without a majority are counted, by their String.
const (
	countGranted        = "granted"
	countBound          = "bound to a group" // claims that were asked for again in a worker group
	countRecordsFetched = "pulled"
	countRefusedPrefix  = "refused: " // with the reason

	// Claims and reports that were given up at once.
	countClaimsFull  = "no room to ask"
	countNotServing  = "asked while no member"
	countReportsFull = "no room to tell"

	// Messages that were ignored, or answered with the set in force.
	countNotReplica        = "asked as no keeper"
	countNotFromReplica    = "word of no keeper"
	countOtherSet          = "other keepers"
	countStaticSet         = "keepers do not change here"
	countOtherGroup        = "another founding"
	countInvalidRecord     = "garbled"
	countStaleRegistration = "registration of an earlier process"

	// Records that were not stored, or not completely.
	countLogFull       = "no room for a record"
	countTooManyClaims = "too many claims"

	// Broken promises.
	countFingerprintConflict = "breach: two requests under one id"
	countOutcomeConflict     = "breach: words that can't both be true"
)
