package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/outcome"
	"samphirewell/internal/wire"
)

// requestTimeout bounds all attempts of one job request or operator request together.
const requestTimeout = 10 * time.Second

// Error is a request that was refused or whose outcome is not known.
type Error struct {
	Outcome  outcome.Outcome // NotRun or Unknown
	Status   int             // HTTP status; 0 without a response
	Message  string          // text from the host, or of the local failure
	Problems []string        // problems of a refused document
}

// Error formats the outcome, the message and the problems.
func (e *Error) Error() string {
	text := e.Outcome.Kind.String()
	if e.Outcome.Reason != "" {
		text += " (" + string(e.Outcome.Reason) + ")"
	}
	if e.Message != "" {
		text += ": " + e.Message
	}
	for _, p := range e.Problems {
		text += "\n" + p
	}
	return text
}

// SubmitJob submits a job and returns its record. Retries carry the submission key of spec, so one submission creates one job. The error is *Error.
func (c *Client) SubmitJob(ctx context.Context, spec api.JobSpec) (api.JobRecord, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return api.JobRecord{}, errors.Wrap(err, "encode job")
	}
	var record api.JobRecord
	err = c.doJobRequest(ctx, http.MethodPost, wire.PathJobs, spec.Team, body, &record)
	return record, err
}

// GetJob returns the record of a team's job. The error is *Error, with status 404 for a job that does not exist.
func (c *Client) GetJob(ctx context.Context, team, id string) (api.JobRecord, error) {
	var record api.JobRecord
	err := c.doJobRequest(ctx, http.MethodGet, jobPath(id), team, nil, &record)
	return record, err
}

// ListJobs returns the records of a team's jobs. The error is *Error.
func (c *Client) ListJobs(ctx context.Context, team string) ([]api.JobRecord, error) {
	var records []api.JobRecord
	err := c.doJobRequest(ctx, http.MethodGet, wire.PathJobs, team, nil, &records)
	return records, err
}

// CancelJob cancels a team's job and returns its record. Cancelling twice has no further effect. The error is *Error.
func (c *Client) CancelJob(ctx context.Context, team, id string) (api.JobRecord, error) {
	var record api.JobRecord
	err := c.doJobRequest(ctx, http.MethodDelete, jobPath(id), team, nil, &record)
	return record, err
}

func jobPath(id string) string { return wire.PathJobs + "/" + url.PathEscape(id) }

func (c *Client) doJobRequest(ctx context.Context, method, path, team string, body []byte, out any) error {
	result := c.sendWithRetries(ctx, requestTimeout, func(ctx context.Context, a attempt) exchangeResult {
		header := http.Header{"Content-Type": {"application/json"}}
		header.Set(wire.HeaderTeam, team)
		result := c.transport.exchange(ctx, method, c.url(a.sequence)+path, header, body)
		if method == http.MethodPost {
			return result // an earlier attempt may have created the job even if this one is refused
		}
		return markFinalRefusal(result)
	})
	return decodeResult(result, out)
}

// markFinalRefusal marks a refusal of the request itself (a 4xx status except 429) as answered: no earlier or later attempt of the same request can
// succeed.
func markFinalRefusal(result exchangeResult) exchangeResult {
	refused := result.status >= http.StatusBadRequest && result.status < http.StatusInternalServerError
	if refused && result.status != http.StatusTooManyRequests {
		result.outcome = outcome.Answer(result.status, result.body)
	}
	return result
}

// decodeResult stores the body of a successful response in out and returns *Error for everything else. A status of 300 or more with the outcome
// Answered is a refusal: the request had no effect.
func decodeResult(result exchangeResult, out any) error {
	if result.outcome.Kind == outcome.Answered && result.status < http.StatusMultipleChoices {
		if err := json.Unmarshal(result.body, out); err != nil {
			return &Error{Outcome: outcome.MayHaveRun(outcome.BadAnswer), Status: result.status, Message: err.Error()}
		}
		return nil
	}
	refused := &Error{Outcome: result.outcome, Status: result.status, Message: string(result.body)}
	if result.outcome.Kind == outcome.Answered {
		refused.Outcome = outcome.Refuse(outcome.BadRequest, 0)
	}
	var body api.OperatorError
	if json.Unmarshal(result.body, &body) == nil && body.Error != "" {
		refused.Message, refused.Problems = body.Error, body.Problems
	}
	return refused
}
