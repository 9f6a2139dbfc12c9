package front

import (
	"net/http"
	"strconv"

	"samphirewell/internal/outcome"
	"samphirewell/internal/wire"
)

// statusOf returns the HTTP status for a refusal or an unknown outcome.
func statusOf(o outcome.Outcome) int {
	if o.Kind == outcome.Unknown {
		return http.StatusGatewayTimeout
	}
	switch o.Reason {
	case outcome.BadRequest, outcome.TooLarge:
		return http.StatusBadRequest
	case outcome.UnknownTeam, outcome.ServiceDenied:
		return http.StatusForbidden
	case outcome.RateLimit, outcome.Concurrency, outcome.QueueFull, outcome.InProgress, outcome.RetryBudget:
		return http.StatusTooManyRequests
	case outcome.Expired:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// respond writes the response for the outcome. detail is the body if there is no answer.
func respond(w http.ResponseWriter, o outcome.Outcome, detail string) {
	h := w.Header()
	status, body := o.Status, o.Body
	if o.Kind != outcome.Answered {
		status = statusOf(o)
		body = []byte(detail)
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	wire.SetOutcome(h, o)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
