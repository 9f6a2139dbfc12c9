package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
)

// ConflictError means that a change of the lists was not made because another change was made first.
type ConflictError struct {
	api.ListsConflict
}

// Error describes the conflict with its differences.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("the lists were read at version %d, but are at version %d now (by %s)", e.ReadVersion, e.CurrentVersion, e.Author)
	if !e.Complete {
		return text + "; the differences are not known"
	}
	return strings.Join(append([]string{text}, e.Changes...), "\n")
}

// Operator sends requests to the operator endpoint of one entry host. It is safe for concurrent use.
type Operator struct {
	client *Client
	token  string
}

// NewOperator returns a client for the operator endpoint at a base URL, for example http://10.0.0.1:7003.
func NewOperator(clk clock.Clock, url, token string) (*Operator, error) {
	if url == "" {
		return nil, ErrNoBaseURL
	}
	c, err := New(clk, url)
	return &Operator{client: c, token: token}, err
}

// Status returns the state of the host. The error is *Error.
func (o *Operator) Status(ctx context.Context) (api.HostStatus, error) {
	var status api.HostStatus
	err := o.Get(ctx, "/v1/status", &status)
	return status, err
}

// Lists returns the lists in force on the host. The error is *Error, with status 404 if the host has none.
func (o *Operator) Lists(ctx context.Context) (api.ConfigRow, error) {
	var row api.ConfigRow
	err := o.Get(ctx, "/v1/lists", &row)
	return row, err
}

// PutLists replaces the lists if readVersion is still the current version. After a lost response the request is repeated with
// the same request id. The error is *ConflictError or *Error.
func (o *Operator) PutLists(ctx context.Context, readVersion int, change api.PutListsRequest) (api.PutListsResponse, error) {
	var response api.PutListsResponse
	body, err := json.Marshal(change)
	if err != nil {
		return response, errors.Wrap(err, "encode change")
	}
	header := http.Header{"If-Match": {strconv.Quote(strconv.Itoa(readVersion))}}
	result := o.do(ctx, http.MethodPut, "/v1/lists", header, body)
	if result.status == http.StatusPreconditionFailed {
		var conflict ConflictError
		if err := json.Unmarshal(result.body, &conflict.ListsConflict); err == nil {
			return response, &conflict
		}
	}
	err = decodeResult(result, &response)
	return response, err
}

// Drain begins the graceful stop of the host. Repeating it has no further effect. The error is *Error.
func (o *Operator) Drain(ctx context.Context) (api.DrainResponse, error) {
	var response api.DrainResponse
	err := decodeResult(o.do(ctx, http.MethodPost, "/v1/drain", nil, nil), &response)
	return response, err
}

// Get reads the JSON document at path of the endpoint into out. The error is *Error.
func (o *Operator) Get(ctx context.Context, path string, out any) error {
	return decodeResult(o.do(ctx, http.MethodGet, path, nil, nil), out)
}

// do sends a request with the token. A refusal of the request itself also applies to its earlier attempts, because the host recognises a repeated
// change by its request id.
func (o *Operator) do(ctx context.Context, method, path string, header http.Header, body []byte) exchangeResult {
	return o.client.sendWithRetries(ctx, requestTimeout, func(ctx context.Context, a attempt) exchangeResult {
		h := header.Clone()
		if h == nil {
			h = http.Header{}
		}
		h.Set("Authorization", "Bearer "+o.token)
		return markFinalRefusal(o.client.transport.exchange(ctx, method, o.client.url(a.number)+path, h, body))
	})
}
