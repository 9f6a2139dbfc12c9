// Package wire holds the header names and paths of the HTTP interfaces between callers, entry hosts and backend servers.
package wire

// Headers of a call from a caller to an entry host.
const (
	HeaderTeam              = "Samphire-Team"                 // team of the caller
	HeaderClass             = "Samphire-Class"                // urgent, normal or batch
	HeaderDeadlineMs        = "Samphire-Deadline-Ms"          // time left until the deadline, in milliseconds
	HeaderIdempotencyKey    = "Idempotency-Key"               // key of a non-repeatable call
	HeaderAttempt           = "Samphire-Attempt"              // 1 for the first attempt
	HeaderFirstAttemptAgeMs = "Samphire-First-Attempt-Age-Ms" // time since the first attempt, in milliseconds
	HeaderRepeatable        = "Samphire-Repeatable"           // true or false
)

// Headers of the response to a caller.
const (
	HeaderOutcome      = "Samphire-Outcome"        // answered, not-run or unknown
	HeaderReason       = "Samphire-Reason"         // reason of a refusal or an unknown outcome
	HeaderRetryAfterMs = "Samphire-Retry-After-Ms" // time after which a retry is useful, in milliseconds
	HeaderRetryAfter   = "Retry-After"             // the same, rounded up to seconds
)

// Headers between an entry host and an executor.
const (
	HeaderCallID     = "Samphire-Call-Id"     // sent by the entry host and echoed by the executor
	HeaderFreeSlots  = "Samphire-Free-Slots"  // free slots of the executor after this response
	HeaderLeaving    = "Samphire-Leaving"     // true when the executor is leaving
	HeaderNotStarted = "Samphire-Not-Started" // true when the executor did not start the call
)

// Path prefixes.
const (
	PathCall         = "/v1/call/" // caller to entry host, followed by service/method
	PathExecutorCall = "/call/"    // entry host to executor, followed by service/method
	PathJobs         = "/v1/jobs"  // caller to entry host
)

// Paths of a worker, from an entry host.
const (
	PathReserve    = "/v1/reserve"
	PathCommit     = "/v1/commit"
	PathRenew      = "/v1/renew"
	PathStop       = "/v1/stop"
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
	PathReport     = "/v1/report"
)
