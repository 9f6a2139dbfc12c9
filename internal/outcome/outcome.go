// Package outcome defines the typed outcome of a call. Each call ends with exactly one of three kinds.
package outcome

import "time"

// Kind states whether a call was executed, as far as the entry host can determine.
type Kind uint8

// Kinds of outcome.
const (
	Answered Kind = iota + 1 // the complete response of the backend server is attached
	NotRun                   // no backend server started the call
	Unknown                  // the call may have run; its response is not available
)

// String returns the value of the outcome header for the kind.
func (k Kind) String() string {
	switch k {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Reason is the typed cause of a refusal or of an unknown outcome.
type Reason string

// Reasons with the outcome NotRun.
const (
	NoConfig      Reason = "no_config"      // the host has received no accepted lists yet
	NoView        Reason = "no_view"        // the host holds no view lease
	NoBackend     Reason = "no_backend"     // no backend server can be chosen
	QueueFull     Reason = "queue_full"     // rejected or dropped because a bounded queue or record store is full
	Expired       Reason = "expired"        // the deadline passed before the call was sent
	RateLimit     Reason = "rate_limit"     // above the rate limit of the plan
	Concurrency   Reason = "concurrency"    // above the limit of the plan on concurrent calls
	UnknownTeam   Reason = "unknown_team"   // no such team in the lists
	ServiceDenied Reason = "service_denied" // the plan does not include the service
	BadRequest    Reason = "bad_request"    // malformed or missing fields
	TooLarge      Reason = "too_large"      // body above the size limit
	Draining      Reason = "draining"       // the host is leaving
	RetryBudget   Reason = "retry_budget"   // no retry budget left
	InProgress    Reason = "in_progress"    // another attempt with the key is running
	PlatformDown  Reason = "platform_down"  // the platform's table does not respond
	NotStarted    Reason = "not_started"    // every tried backend server refused to start the call
	KeyTombstone  Reason = "key_tombstone"  // the key is blocked because a later attempt, possibly in another failure domain, took it over
	OldView       Reason = "old_view"       // the view of the claim differs from the view of the key owner, or the claim was cancelled
)

// Reasons with the outcome Unknown.
const (
	ConnectionLost  Reason = "connection_lost"  // the connection ended after the request was written
	DeadlineRunning Reason = "deadline_running" // the deadline passed while the call ran
	BadAnswer       Reason = "bad_answer"       // the response was malformed, truncated or belonged to another call
	KeyUnknown      Reason = "key_unknown"      // the available records do not show whether an earlier attempt ran
	OtherDomain     Reason = "other_domain"     // another failure domain could not be queried about the key
	AnswerNotKept   Reason = "answer_not_kept"  // the call ran, but its response was too large to store or was dropped to limit memory
)

// Outcome is the result of a call. The zero value is invalid.
type Outcome struct {
	Kind       Kind
	Reason     Reason        // empty for Answered
	RetryAfter time.Duration // earliest useful retry; 0 when a retry is of no use
	Status     int           // HTTP status of the backend server's response; Answered only
	Body       []byte        // body of the response; Answered only
}

// Refuse returns an outcome of kind NotRun.
func Refuse(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// MayHaveRun returns an outcome of kind Unknown.
func MayHaveRun(reason Reason) Outcome {
	return Outcome{Kind: Unknown, Reason: reason}
}

// Answer returns an outcome of kind Answered.
func Answer(status int, body []byte) Outcome {
	return Outcome{Kind: Answered, Status: status, Body: body}
}
