package replication

// Names of the counters in Status. Operators and programs read the counters, so the names must not change.
// The results of claims without a majority are also counted, under the names that ClaimResult.String returns.
const (
	countGranted        = "granted"
	countBound          = "bound to a group" // claims that were replaced by claims bound to a worker group
	countLateGrant      = "granted late"     // grants of released claims, which were released again
	countRecordsFetched = "pulled"
	countRefusedPrefix  = "refused: " // followed by the reason

	// Claims and reports that were rejected without being sent. countClaimsFull also counts claims whose key is
	// empty or too long.
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

	// Records that were not stored, or were stored without some of their claims.
	countLogFull       = "no room for a record"
	countTooManyClaims = "too many claims"

	// Conflicts that show that an invariant was violated.
	countFingerprintConflict = "breach: two requests under one id"
	countOutcomeConflict     = "breach: words that can't both be true"
)
