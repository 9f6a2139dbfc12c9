package jobs

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
	"samphirewell/internal/platform"
	"samphirewell/internal/wire"
)

// maxSpecBytes bounds the body of a submission.
const maxSpecBytes = 64 << 10

// platformRetryAfter is the retry-after sent to callers when the table does not respond or the host has no lists.
const platformRetryAfter = 2 * time.Second

// Reasons of job refusals, in addition to those of package outcome.
const (
	reasonNoJob     outcome.Reason = "no_such_job"
	reasonKeyReused outcome.Reason = "submission_key_reused"
)

// TeamLookup reports whether a team exists; hasLists is false while the host has no accepted lists.
type TeamLookup func(team string) (exists, hasLists bool)

// API serves submissions, queries and cancellations of jobs. A team sees only its own jobs.
type API struct {
	Store  *Store
	Clock  clock.Clock
	Teams  TeamLookup
	Domain func(spec api.JobSpec) string // returns the failure domain for a new job
	Wake   func()                        // notifies the scheduler of a new job or a cancellation; may be nil

	cancels cancelBatcher
}

// Register adds the handlers to mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+wire.PathJobs, a.submit)
	mux.HandleFunc("GET "+wire.PathJobs, a.list)
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}", a.get)
	mux.HandleFunc("DELETE "+wire.PathJobs+"/{id}", a.cancel)
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	team, ok := a.requestTeam(w, r)
	if !ok {
		return
	}
	spec, o := readSpec(r, team)
	if o.Kind != 0 {
		writeRefusal(w, o)
		return
	}
	job, err := a.Store.Submit(r.Context(), spec, a.Domain(spec), int(a.Clock.Now().UnixMilli()))
	if err != nil {
		writeRefusal(w, outcomeOf(err))
		return
	}
	if a.Wake != nil {
		a.Wake()
	}
	writeJSON(w, http.StatusCreated, job.JobRecord)
}

func readSpec(r *http.Request, team string) (api.JobSpec, outcome.Outcome) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxSpecBytes+1))
	if err != nil {
		return api.JobSpec{}, outcome.Refuse(outcome.BadRequest, 0)
	}
	if len(data) > maxSpecBytes {
		return api.JobSpec{}, outcome.Refuse(outcome.TooLarge, 0)
	}
	var spec api.JobSpec
	if json.Unmarshal(data, &spec) != nil || CheckSpec(spec) != nil || spec.Team != team {
		return api.JobSpec{}, outcome.Refuse(outcome.BadRequest, 0)
	}
	return spec, outcome.Outcome{}
}

// Bounds of a job specification, as in the schema.
const (
	maxParts     = 64
	maxKeyLength = 128
)

// CheckSpec returns an error that names the first invalid field, or nil.
func CheckSpec(s api.JobSpec) error {
	switch {
	case s.SubmissionKey == "" || len(s.SubmissionKey) > maxKeyLength:
		return errors.Errorf("submissionKey must have 1 to %d bytes", maxKeyLength)
	case s.Team == "":
		return errors.New("team must not be empty")
	case s.Parts < 1 || s.Parts > maxParts:
		return errors.Errorf("parts must be 1 to %d", maxParts)
	case s.Cores < 0 || s.MemoryGb < 0 || s.Accelerators < 0 || s.DeclaredRunMS < 0:
		return errors.New("cores, memoryGb, accelerators and declaredRunMs must not be negative")
	case s.Cores+s.MemoryGb+s.Accelerators == 0:
		return errors.New("a part must request cores, memory or accelerators")
	}
	switch s.Class {
	case api.JobSpecClassUrgent, api.JobSpecClassNormal, api.JobSpecClassBatch:
	default:
		return errors.New("class must be urgent, normal or batch")
	}
	switch s.Adjacency {
	case api.JobSpecAdjacencyWorker, api.JobSpecAdjacencyRack, api.JobSpecAdjacencyDomain:
		return nil
	}
	return errors.New("adjacency must be worker, rack or domain")
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	team, ok := a.requestTeam(w, r)
	if !ok {
		return
	}
	found, err := a.Store.ListByTeam(r.Context(), team)
	if err != nil {
		writeRefusal(w, outcomeOf(err))
		return
	}
	records := make([]api.JobRecord, 0, len(found))
	for _, j := range found {
		records = append(records, j.JobRecord)
	}
	writeJSON(w, http.StatusOK, records)
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	if job, ok := a.ownJob(w, r); ok {
		writeJSON(w, http.StatusOK, job.JobRecord)
	}
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	team, ok := a.requestTeam(w, r)
	if !ok {
		return
	}
	job, err := a.cancels.do(r.Context(), a.Store, Cancellation{ID: r.PathValue("id"), Team: team})
	if err != nil {
		writeRefusal(w, outcomeOf(err))
		return
	}
	if a.Wake != nil {
		a.Wake()
	}
	writeJSON(w, http.StatusOK, job.JobRecord)
}

// ownJob reads the job of the request and replies with an error if it fails. A job of another team is treated as if it did not exist.
func (a *API) ownJob(w http.ResponseWriter, r *http.Request) (StoredJob, bool) {
	team, ok := a.requestTeam(w, r)
	if !ok {
		return StoredJob{}, false
	}
	job, err := a.Store.Get(r.Context(), r.PathValue("id"))
	if err == nil && job.Spec.Team != team {
		err = ErrNoJob
	}
	if err != nil {
		writeRefusal(w, outcomeOf(err))
		return StoredJob{}, false
	}
	return job, true
}

// requestTeam returns the team of the request and whether it exists; if not, it has replied with an error.
func (a *API) requestTeam(w http.ResponseWriter, r *http.Request) (string, bool) {
	team := r.Header.Get(wire.HeaderTeam)
	exists, hasLists := a.Teams(team)
	switch {
	case !hasLists:
		writeRefusal(w, outcome.Refuse(outcome.NoConfig, platformRetryAfter))
	case !exists:
		writeRefusal(w, outcome.Refuse(outcome.UnknownTeam, 0))
	}
	return team, hasLists && exists
}

func outcomeOf(err error) outcome.Outcome {
	switch {
	case errors.Is(err, ErrNoJob):
		return outcome.Refuse(reasonNoJob, 0)
	case errors.Is(err, ErrKeyReused):
		return outcome.Refuse(reasonKeyReused, 0)
	case errors.Is(err, platform.ErrUncertain):
		o := outcome.MayHaveRun(outcome.PlatformDown)
		o.RetryAfter = platformRetryAfter
		return o
	}
	return outcome.Refuse(outcome.PlatformDown, platformRetryAfter)
}

func statusOf(reason outcome.Reason) int {
	switch reason {
	case outcome.BadRequest, outcome.TooLarge:
		return http.StatusBadRequest
	case outcome.UnknownTeam:
		return http.StatusForbidden
	case reasonNoJob:
		return http.StatusNotFound
	case reasonKeyReused:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

func writeRefusal(w http.ResponseWriter, o outcome.Outcome) {
	wire.SetOutcome(w.Header(), o)
	w.WriteHeader(statusOf(o.Reason))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(wire.HeaderOutcome, outcome.Answered.String())
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
