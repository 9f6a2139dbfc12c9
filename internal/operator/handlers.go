package operator

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/config"
	"samphirewell/internal/outcome"
	"samphirewell/internal/platform"
	"samphirewell/internal/settings"
	"samphirewell/internal/wire"
)

const (
	putTimeout    = 4 * time.Second // bound of one change; below the 10 s of the client library, so that it can repeat the request before it gives up
	putRetryAfter = time.Second     // retry-after sent to operators while the table is unavailable
)

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]bool{"healthy": true})
}

// readyz is the readiness check that the platform's balancer polls.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	ready := s.options.Host.Status().Ready
	code := http.StatusOK
	if !ready {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, map[string]bool{"ready": ready})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.options.Host.Status())
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.options.Host.Drain()
	writeJSON(w, http.StatusAccepted, api.DrainResponse{Draining: true})
}

func (s *Server) getLists(w http.ResponseWriter, _ *http.Request) {
	current := s.options.Lists.Current()
	if current == nil {
		writeError(w, http.StatusNotFound, "this host knows no version of the lists")
		return
	}
	w.Header().Set("ETag", etag(current.Version))
	writeJSON(w, http.StatusOK, current.Row())
}

func (s *Server) putLists(w http.ResponseWriter, r *http.Request) {
	read, err := strconv.Atoi(strings.Trim(r.Header.Get("If-Match"), `"`))
	if err != nil {
		setOutcome(w, outcome.NotRun)
		writeError(w, http.StatusPreconditionRequired, "the header If-Match must hold the version that was read; 0 for the first lists")
		return
	}
	var request api.PutListsRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		setOutcome(w, outcome.NotRun)
		writeError(w, http.StatusBadRequest, "the body is not a change of the lists: "+err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, putTimeout)
	defer cancel()
	result, err := s.options.Publisher.Put(ctx, config.Change{
		ReadVersion: read, Author: request.Author, RequestID: request.RequestID, Text: request.Text,
	})
	if err != nil {
		writePutError(w, err)
		return
	}
	w.Header().Set("ETag", etag(result.Accepted.Version))
	writeJSON(w, http.StatusOK, api.PutListsResponse{Version: result.Accepted.Version, Repeated: result.Repeated})
}

// writePutError maps the errors of config.Publisher.Put to responses. The outcome header states whether the change may have been made.
func writePutError(w http.ResponseWriter, err error) {
	var conflict *config.Conflict
	var problems settings.Problems
	switch {
	case errors.As(err, &conflict):
		setOutcome(w, outcome.NotRun)
		writeJSON(w, http.StatusPreconditionFailed, conflictBody(conflict))
	case errors.As(err, &problems):
		setOutcome(w, outcome.NotRun)
		writeJSON(w, http.StatusBadRequest, api.OperatorError{Error: "the lists are not valid", Problems: problemLines(problems)})
	case errors.Is(err, config.ErrInvalidChange):
		setOutcome(w, outcome.NotRun)
		writeError(w, http.StatusBadRequest, err.Error())
	case errors.Is(err, config.ErrRequestIDReused):
		setOutcome(w, outcome.NotRun)
		writeError(w, http.StatusConflict, err.Error())
	case errors.Is(err, platform.ErrUnavailable):
		setOutcome(w, outcome.NotRun)
		w.Header().Set(wire.HeaderReason, string(outcome.PlatformDown))
		w.Header().Set(wire.HeaderRetryAfter, strconv.Itoa(int(putRetryAfter/time.Second)))
		w.Header().Set(wire.HeaderRetryAfterMs, strconv.Itoa(int(putRetryAfter/time.Millisecond)))
		writeError(w, http.StatusServiceUnavailable, "the platform's table is not available; nothing was changed by this request")
	default:
		setOutcome(w, outcome.Unknown)
		writeError(w, http.StatusGatewayTimeout, "it is not known whether the change was made: "+err.Error())
	}
}

func conflictBody(c *config.Conflict) api.ListsConflict {
	body := api.ListsConflict{ReadVersion: c.ReadVersion, Complete: c.Complete, Changes: c.Changes}
	if body.Changes == nil {
		body.Changes = []string{}
	}
	if c.Current != nil {
		body.CurrentVersion, body.Author = c.Current.Version, c.Current.Author
	}
	return body
}

// vars returns the process-wide variables and those of this host. The command line is omitted, because it may contain secrets.
func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	variables := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != "cmdline" {
			variables[kv.Key] = json.RawMessage(kv.Value.String())
		}
	})
	if s.options.Vars != nil {
		variables["samphire"] = json.RawMessage(s.options.Vars.String())
	}
	writeJSON(w, http.StatusOK, variables)
}

func etag(version int) string { return fmt.Sprintf("%q", strconv.Itoa(version)) }

func problemLines(problems settings.Problems) []string {
	list := make([]string, len(problems))
	for i, p := range problems {
		list[i] = p.String()
	}
	return list
}

func setOutcome(w http.ResponseWriter, kind outcome.Kind) {
	w.Header().Set(wire.HeaderOutcome, kind.String())
}

func writeError(w http.ResponseWriter, code int, text string) {
	writeJSON(w, code, api.OperatorError{Error: text, Problems: []string{}})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		code, text = http.StatusInternalServerError, []byte(`{"error":"the answer cannot be encoded","problems":[]}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(text, '\n'))
}
