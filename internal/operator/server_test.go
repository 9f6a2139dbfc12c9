package operator

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/config"
	"samphirewell/internal/platform"
)

const token = "token-of-the-test"

const lists = `{"failureDomains": ["a"], "policy": {"completionWeight": 1, "fragmentationWeight": 0}, "teams": [], "plans": []}`

type fakeHost struct {
	ready  bool
	drains int
}

func (f *fakeHost) Status() api.HostStatus {
	return api.HostStatus{HostID: "h1", Ready: f.ready, Parts: []api.PartStatus{}}
}

func (f *fakeHost) Drain() { f.drains++ }

type fakePublisher struct {
	err  error
	last config.Change
}

func (f *fakePublisher) Put(_ context.Context, change config.Change) (config.Result, error) {
	f.last = change
	if f.err != nil {
		return config.Result{}, f.err
	}
	return config.Result{Accepted: &config.Accepted{Version: change.ReadVersion + 1}}, nil
}

type fixture struct {
	t         *testing.T
	url       string
	host      *fakeHost
	holder    *config.Holder
	publisher *fakePublisher
}

func startServer(t *testing.T) *fixture {
	f := &fixture{t: t, host: &fakeHost{}, holder: &config.Holder{}, publisher: &fakePublisher{}}
	vars := new(expvar.Map)
	vars.Add("calls", 3)
	s := New(Options{Address: "127.0.0.1:0", Token: token, Host: f.host, Lists: f.holder, Publisher: f.publisher, Vars: vars})
	s.Handle("GET /v1/extra", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "extra") }))
	must.NoError(t, s.Start())
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	f.url = "http://" + s.Addr()
	return f
}

type result struct {
	code   int
	header http.Header
}

// do sends a request and returns the response and its body; headers are name, value pairs.
func (f *fixture) do(method, path, body string, headers ...string) (result, string) {
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	must.NoError(f.t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	must.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	must.NoError(f.t, err)
	return result{response.StatusCode, response.Header}, string(text)
}

// Guards against an endpoint, built in or added by Handle, that works without the token, and against responses that contain the token.
func TestEveryEndpointButHealthRequiresTheToken(t *testing.T) {
	f := startServer(t)
	for _, c := range []struct{ method, path string }{
		{"GET", "/v1/status"}, {"GET", "/v1/lists"}, {"PUT", "/v1/lists"}, {"POST", "/v1/drain"}, {"GET", "/debug/vars"}, {"GET", "/v1/extra"},
	} {
		for _, value := range []string{"", "Bearer ", "Bearer wrong", "Bearer " + token + "x", token, "Basic " + token} {
			response, body := f.do(c.method, c.path, "", "Authorization", value)
			must.Eq(t, http.StatusUnauthorized, response.code, must.Sprintf("%s %s with %q", c.method, c.path, value))
			must.StrNotContains(t, body, token)
		}
		response, body := f.do(c.method, c.path, "", "Authorization", "Bearer "+token)
		must.NotEq(t, http.StatusUnauthorized, response.code, must.Sprintf("%s %s", c.method, c.path))
		must.StrNotContains(t, body, token)
	}
	must.Eq(t, 1, f.host.drains, must.Sprint("only the request with the token starts the drain"))
	response, _ := f.do("GET", "/healthz", "")
	must.Eq(t, http.StatusOK, response.code)
}

// Guards against a balancer that continues to send calls to a host that is not ready.
func TestReadinessFollowsTheHost(t *testing.T) {
	f := startServer(t)
	response, _ := f.do("GET", "/readyz", "")
	must.Eq(t, http.StatusServiceUnavailable, response.code)
	f.host.ready = true
	response, _ = f.do("GET", "/readyz", "")
	must.Eq(t, http.StatusOK, response.code)
}

// Guards against lists that are returned without the version that a change must state.
func TestGetListsCarriesTheVersion(t *testing.T) {
	f := startServer(t)
	response, _ := f.do("GET", "/v1/lists", "", "Authorization", "Bearer "+token)
	must.Eq(t, http.StatusNotFound, response.code)
	_, err := f.holder.Advance(&config.Accepted{Version: 7, Hash: config.HashText(lists), Text: lists})
	must.NoError(t, err)
	response, body := f.do("GET", "/v1/lists", "", "Authorization", "Bearer "+token)
	must.Eq(t, http.StatusOK, response.code)
	must.Eq(t, `"7"`, response.header.Get("ETag"))
	var row api.ConfigRow
	must.NoError(t, json.Unmarshal([]byte(body), &row))
	must.Eq(t, lists, row.Text)
}

// Guards against error responses that report "not run" for a change that may have been made, or "unknown" for one that was not.
func TestPutListsReportsWhetherTheChangeWasMade(t *testing.T) {
	f := startServer(t)
	_, invalid := config.ParseLists("lists", []byte(`{}`))
	conflict := &config.Conflict{ReadVersion: 3, Current: &config.Accepted{Version: 5, Author: "iva"}, Complete: true, Changes: []string{"team x added"}}
	body := fmt.Sprintf(`{"author": "petr", "requestId": "r1", "text": %q}`, lists)
	cases := []struct {
		name, ifMatch, body string
		err                 error
		code                int
		outcome, contains   string
	}{
		{"accepted", `"3"`, body, nil, 200, "", `"version":4`},
		{"no version", "", body, nil, 428, "not-run", "If-Match"},
		{"bad body", "3", `{"text": 1}`, nil, 400, "not-run", "not a change"},
		{"conflict", "3", body, conflict, 412, "not-run", "team x added"},
		{"invalid", "3", body, invalid, 400, "not-run", "/failureDomains: expected a value, got nothing"},
		{"request id reused", "3", body, errors.Wrap(config.ErrRequestIDReused, "x"), 409, "not-run", "request id"},
		{"table refuses", "3", body, errors.Wrap(platform.ErrUnavailable, "x"), 503, "not-run", "not available"},
		{"answer lost", "3", body, errors.Wrap(platform.ErrUncertain, "x"), 504, "unknown", "not known"},
		{"read version too old", "3", body, config.ErrTooOld, 504, "unknown", "not known"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.publisher.err = c.err
			response, text := f.do("PUT", "/v1/lists", c.body, "Authorization", "Bearer "+token, "If-Match", c.ifMatch)
			must.Eq(t, c.code, response.code, must.Sprint(text))
			must.Eq(t, c.outcome, response.header.Get("Samphire-Outcome"))
			must.StrContains(t, text, c.contains)
		})
	}
	must.Eq(t, config.Change{ReadVersion: 3, Author: "petr", RequestID: "r1", Text: lists}, f.publisher.last)
}

// Guards against the command line, which may hold secrets, in the published variables.
func TestVarsShowCountersAndNoCommandLine(t *testing.T) {
	f := startServer(t)
	_, body := f.do("GET", "/debug/vars", "", "Authorization", "Bearer "+token)
	var vars map[string]json.RawMessage
	must.NoError(t, json.Unmarshal([]byte(body), &vars))
	must.Eq(t, `{"calls":3}`, string(vars["samphire"]))
	must.MapContainsKey(t, vars, "memstats")
	must.MapNotContainsKey(t, vars, "cmdline")
}
