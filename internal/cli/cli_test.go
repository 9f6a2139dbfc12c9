package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/config"
	"samphirewell/internal/operator"
	"samphirewell/internal/platform"
	"samphirewell/internal/settings"
	"samphirewell/internal/version"
)

const listsFile = examples + "/blue-mahoe/lists.json"

// fakeHost is the host and the publisher behind the operator endpoint of a fixture. Put returns publishErr.
type fakeHost struct {
	publishErr error
	lastChange config.Change
	drained    int
}

func (h *fakeHost) Status() api.HostStatus {
	return api.HostStatus{HostID: "h1", FailureDomain: "kingston-a", Ready: true, ConfigVersion: 3, Parts: []api.PartStatus{{Name: "queue", Ok: true, Detail: "0 waiting"}}}
}

func (h *fakeHost) Drain() { h.drained++ }

func (h *fakeHost) Put(_ context.Context, change config.Change) (config.Result, error) {
	h.lastChange = change
	return config.Result{Accepted: &config.Accepted{Version: change.ReadVersion + 1}}, h.publishErr
}

// fixture is an operator endpoint at which version 3 of the example lists is in force.
type fixture struct {
	t    *testing.T
	host *fakeHost
	url  string
}

func newFixture(t *testing.T) *fixture {
	t.Setenv("SAMPHIRE_OPERATOR_TOKEN", "token-of-the-test")
	text, err := os.ReadFile(listsFile)
	must.NoError(t, err)
	accepted, err := config.AcceptedFromRow(api.ConfigRow{Version: 3, Hash: config.HashText(string(text)),
		Author: "iva\n}", RequestID: "r", Text: string(text)})
	must.NoError(t, err)
	holder := &config.Holder{}
	_, err = holder.Advance(accepted)
	must.NoError(t, err)
	h := &fakeHost{}
	server := httptest.NewServer(operator.New(operator.Options{Token: "token-of-the-test", Host: h, Lists: holder, Publisher: h}))
	t.Cleanup(server.Close)
	return &fixture{t: t, host: h, url: server.URL}
}

// run runs samphirectl and returns its exit code, output and errors.
func (f *fixture) run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	env := Env{Context: context.Background(), Stdout: &out, Stderr: &errs, Clock: clock.Real{}}
	if args[0] != "--version" {
		args = append(args, "--operator-url", f.url, "--url", f.url)
	}
	code = RunCtl(env, args, Command{Name: "extra", Help: "An added command.", Cmd: &extraCmd{}})
	return code, out.String(), errs.String()
}

type extraCmd struct{}

func (*extraCmd) Run(app *App) error { return app.Print("extra\n", nil) }

func writeTempFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "file.json")
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// Guards against commands that end with another exit code than the documented one, on which scripts rely.
func TestCommandsEndWithTheDocumentedExitCode(t *testing.T) {
	conflict := &config.Conflict{ReadVersion: 2, Current: &config.Accepted{Version: 3, Author: "iva"}, Complete: true, Changes: []string{"team x added"}}
	broken := writeTempFile(t, `{"failureDomains": []}`)
	put := []string{"lists", "put", listsFile, "--version", "2"}
	cases := []struct {
		name     string
		args     []string
		err      error // of the publisher
		code     int
		contains string // in the output or the errors
	}{
		{"help", []string{"--help"}, nil, ExitOK, "Exit codes: 0 done"},
		{"version", []string{"--version"}, nil, ExitOK, version.Version},
		{"unknown command", []string{"bogus"}, nil, ExitUsage, "bogus"},
		{"put without version", []string{"lists", "put", listsFile}, nil, ExitUsage, "--version"},
		{"missing file", []string{"lists", "check", "missing.json"}, nil, ExitUsage, "missing.json"},
		{"valid lists", []string{"lists", "check", listsFile}, nil, ExitOK, "3 failure domains, 4 teams, 4 plans"},
		{"invalid lists", []string{"lists", "check", broken}, nil, ExitRefused, "/failureDomains: expected at least 1 entries"},
		{"put", put, nil, ExitOK, "version 3 accepted"},
		{"put invalid", []string{"lists", "put", broken, "--version", "2"}, nil, ExitRefused, "/teams"},
		{"put conflict", put, conflict, ExitConflict, "team x added"},
		{"put unknown", put, errors.Wrap(platform.ErrUncertain, "x"), ExitUnknown, "--request-id"},
		{"put reused id", put, config.ErrRequestIDReused, ExitRefused, "request id"},
		{"diff", []string{"lists", "diff", examples + "/orchards/lists.json"}, nil, ExitOK, "failure domain olomouc-a added"},
		{"diff of the same", []string{"lists", "diff", listsFile}, nil, ExitOK, "no differences"},
		{"status", []string{"status"}, nil, ExitOK, "host h1 in kingston-a (region ): ready"},
		{"drain", []string{"drain"}, nil, ExitOK, "draining"},
		{"added command", []string{"extra"}, nil, ExitOK, "extra"},
		{"missing job", []string{"job", "show", "j9", "--team", "desk"}, nil, ExitRefused, "not-run"},
		{"invalid job", []string{"job", "submit", broken}, nil, ExitRefused, "/submissionKey: expected a value, got nothing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.host.publishErr = c.err
			code, out, errs := f.run(c.args...)
			must.Eq(t, c.code, code, must.Sprint(out+errs))
			must.StrContains(t, out+errs, c.contains)
		})
	}
}

// Guards against reporting a host that is down with the exit code of a refusal.
func TestUnreachableHostHasItsOwnExitCode(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewServer(http.NotFoundHandler())
	f.url = server.URL
	server.Close()
	code, _, errs := f.run("status")
	must.Eq(t, ExitUnreachable, code, must.Sprint(errs))
	code, _, errs = f.run("call", "order-desk", "price", "--team", "order-desk")
	must.Eq(t, ExitUnreachable, code, must.Sprint(errs))
}

// Guards against output of "lists show" that "lists put" refuses, for example because a line break in the author's name ends the comment
// that holds the name.
func TestShownListsCanBePutAgain(t *testing.T) {
	f := newFixture(t)
	code, out, errs := f.run("lists", "show")
	must.Eq(t, ExitOK, code, must.Sprint(errs))
	must.StrHasPrefix(t, "// Version 3 by iva }.\n", out)
	file := writeTempFile(t, out)
	code, _, errs = f.run("lists", "put", file, "--version", "3", "--author", "petr", "--request-id", "r7")
	must.Eq(t, ExitOK, code, must.Sprint(errs))
	must.Eq(t, config.Change{ReadVersion: 3, Author: "petr", RequestID: "r7", Text: out}, f.host.lastChange)
}

// Guards against JSON output of "call" that lacks the outcome, the status or the body, for answered and for refused calls.
func TestCallPrintsTheOutcomeAsJSON(t *testing.T) {
	f := newFixture(t)
	f.url = serveCalls(t, 200, "").URL
	code, out, _ := f.run("call", "order-desk", "price", "--team", "order-desk", "--data", "anvil", "--output", "json")
	must.Eq(t, ExitOK, code)
	var got callResult
	must.NoError(t, json.Unmarshal([]byte(out), &got))
	must.Eq(t, callResult{Outcome: "answered", Status: 200, Body: "order-desk/price"}, got)
	f.url = serveCalls(t, 403, "not-run").URL
	code, out, _ = f.run("call", "order-desk", "price", "--team", "nobody", "--output", "json")
	must.Eq(t, ExitRefused, code)
	must.NoError(t, json.Unmarshal([]byte(out), &got))
	must.Eq(t, "not-run", got.Outcome)
}

func serveCalls(t *testing.T, code int, outcome string) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Samphire-Outcome", outcome)
		w.WriteHeader(code)
		_, _ = w.Write([]byte(strings.TrimPrefix(r.URL.Path, "/v1/call/")))
	}))
	t.Cleanup(server.Close)
	return server
}

// Guards against a daemon that starts with invalid settings, drops the error of a failed start, or prints its operator token.
func TestDaemonChecksItsSettingsBeforeItStarts(t *testing.T) {
	good := examples + "/blue-mahoe/hosts/entry-montego-a-1.json"
	started := 0
	run := func(fail error, args ...string) (int, string) {
		var out bytes.Buffer
		env := Env{Context: context.Background(), Stdout: &out, Stderr: &out, Clock: clock.Real{}}
		code := RunDaemon(env, args, func(_ context.Context, s api.Settings, _ *logrus.Logger) error {
			started++
			must.Eq(t, "entry-montego-a-1", s.HostID)
			return fail
		}, nil)
		return code, out.String()
	}
	code, out := run(nil, "--settings", good, "--check")
	must.Eq(t, ExitOK, code)
	must.StrContains(t, out, "valid; host entry-montego-a-1 in montego-a")
	must.StrNotContains(t, out, "replace-this-token")
	code, out = run(nil, "--settings", writeTempFile(t, `{"hostId": "h"}`))
	must.Eq(t, ExitRefused, code)
	must.StrContains(t, out, "/platformUrl: expected a value, got nothing")
	code, _ = run(nil)
	must.Eq(t, ExitUsage, code)
	must.Eq(t, 0, started)
	code, _ = run(nil, "--settings", good)
	must.Eq(t, ExitOK, code)
	code, out = run(settings.Problems{{File: "f", Expected: "x"}}, "--settings", good)
	must.Eq(t, ExitRefused, code)
	must.StrContains(t, out, "expected x")
	must.Eq(t, 2, started)
}
