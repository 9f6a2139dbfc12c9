package jobs

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform/memtable"
	"samphirewell/internal/wire"
)

type testAPI struct {
	t     *testing.T
	mux   *http.ServeMux
	table *memtable.Table
	wakes int
}

func newTestAPI(t *testing.T) *testAPI {
	s, table := newStore()
	c := &testAPI{t: t, mux: http.NewServeMux(), table: table}
	a := &API{
		Store: s, Clock: clock.NewManual(time.UnixMilli(5000)), Wake: func() { c.wakes++ },
		Teams:  func(team string) (bool, bool) { return team == "t" || team == "u", team != "later" },
		Domain: func(api.JobSpec) string { return "d1" },
	}
	a.Register(c.mux)
	return c
}

func (c *testAPI) do(method, path, team string, body any) *httptest.ResponseRecorder {
	c.t.Helper()
	data, err := json.Marshal(body)
	must.NoError(c.t, err)
	r := httptest.NewRequest(method, wire.PathJobs+path, strings.NewReader(string(data)))
	r.Header.Set(wire.HeaderTeam, team)
	w := httptest.NewRecorder()
	c.mux.ServeHTTP(w, r)
	return w
}

// Guards against a wrong outcome of a refused submission: it must be "not-run" if the job was not stored, and "unknown" if it may have been stored.
func TestSubmitAnswers(t *testing.T) {
	bad := testSpec("a")
	bad.Parts = 65
	huge := testSpec("a")
	huge.Kind = strings.Repeat("x", maxSpecBytes)
	for name, tc := range map[string]struct {
		team    string
		spec    api.JobSpec
		faults  memtable.Faults
		status  int
		outcome string
	}{
		"accepted":      {"t", testSpec("a"), memtable.Faults{}, http.StatusCreated, "answered"},
		"other team":    {"u", testSpec("a"), memtable.Faults{}, http.StatusBadRequest, "not-run"},
		"unknown team":  {"x", testSpec("a"), memtable.Faults{}, http.StatusForbidden, "not-run"},
		"no lists":      {"later", testSpec("a"), memtable.Faults{}, http.StatusServiceUnavailable, "not-run"},
		"bad parts":     {"t", bad, memtable.Faults{}, http.StatusBadRequest, "not-run"},
		"too large":     {"t", huge, memtable.Faults{}, http.StatusBadRequest, "not-run"},
		"table outage":  {"t", testSpec("a"), memtable.Faults{Outage: true}, http.StatusServiceUnavailable, "not-run"},
		"answer lost":   {"t", testSpec("a"), memtable.Faults{NextLost: 1}, http.StatusCreated, "answered"},
		"all lost":      {"t", testSpec("a"), memtable.Faults{LostRate: 1}, http.StatusServiceUnavailable, "unknown"},
		"never arrived": {"t", testSpec("a"), memtable.Faults{NextDropped: 1}, http.StatusServiceUnavailable, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestAPI(t)
			c.table.SetFaults(tc.faults)
			w := c.do(http.MethodPost, "", tc.team, tc.spec)
			must.EqOp(t, tc.status, w.Code)
			must.EqOp(t, tc.outcome, w.Header().Get(wire.HeaderOutcome))
			must.EqOp(t, tc.status == http.StatusCreated, c.wakes == 1)
			must.EqOp(t, tc.status == http.StatusServiceUnavailable, w.Header().Get(wire.HeaderRetryAfter) != "")
		})
	}
}

// Guards against a team that sees or cancels the job of another team.
func TestTeamsSeeOnlyTheirJobs(t *testing.T) {
	c := newTestAPI(t)
	must.EqOp(t, http.StatusCreated, c.do(http.MethodPost, "", "t", testSpec("a")).Code)
	id := "/" + ID("t", "a")
	must.EqOp(t, http.StatusNotFound, c.do(http.MethodGet, id, "u", nil).Code)
	must.EqOp(t, http.StatusNotFound, c.do(http.MethodDelete, id, "u", nil).Code)
	must.EqOp(t, "[]\n", c.do(http.MethodGet, "", "u", nil).Body.String())
	w := c.do(http.MethodDelete, id, "t", nil)
	var rec api.JobRecord
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &rec))
	must.True(t, rec.CancelRequested)
	must.StrContains(t, c.do(http.MethodGet, "", "t", nil).Body.String(), rec.ID)
}
