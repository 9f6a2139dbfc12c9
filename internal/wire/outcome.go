package wire

import (
	"net/http"
	"strconv"
	"time"

	"samphirewell/internal/outcome"
)

// SetOutcome sets the headers of an outcome: its kind and, for a refusal or an unknown outcome, the reason and the time after which a retry is
// useful.
func SetOutcome(h http.Header, o outcome.Outcome) {
	h.Set(HeaderOutcome, o.Kind.String())
	if o.Kind == outcome.Answered {
		return
	}
	h.Set(HeaderReason, string(o.Reason))
	if o.RetryAfter > 0 {
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(o.RetryAfter.Milliseconds(), 10))
		h.Set(HeaderRetryAfter, strconv.FormatInt(int64((o.RetryAfter+time.Second-1)/time.Second), 10))
	}
}
