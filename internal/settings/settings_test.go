package settings

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
)

const minimalSettings = `{
  // One host.
  "hostId": "h1",
  "failureDomain": "brno-a",
  "callerAddress": "127.0.0.1:7001",
  "peerAddress": "127.0.0.1:7002",
  "operatorAddress": "127.0.0.1:7003",
  "operatorToken": "secret-token",
  "platformUrl": "http://127.0.0.1:7000",
}`

// Guards against defaults that are duplicated in code and differ from the schema.
func TestDecodeFillsInTheDefaultsOfTheSchema(t *testing.T) {
	s, err := Decode("h1.json", []byte(minimalSettings))
	must.NoError(t, err)
	must.Eq(t, "h1", s.HostID)
	must.Eq(t, 2000, s.CallTimeoutMS)
	must.Eq(t, 8, s.SlotsPerExecutor)
	must.Eq(t, "default", s.Region)
	must.Eq(t, api.SettingsLogLevelInfo, s.LogLevel)
}

// Guards against an explicit 0 in the document that is replaced by the default.
func TestDecodeKeepsAnExplicitZero(t *testing.T) {
	s, err := Decode("h1.json", []byte(strings.Replace(minimalSettings, "{\n", "{\n\"drainLagMs\": 0,\n", 1)))
	must.NoError(t, err)
	must.Eq(t, 0, s.DrainLagMS)
}

// Guards against problems that are reported one at a time, at the wrong line or without the expected value.
func TestDecodeReportsEveryProblemWithLineAndExpectation(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `"hostId"`, `"hostname": 1, "hostId"`, `f:3: /hostname: expected a key of the schema, got unknown key "hostname"`},
		{"wrong type", `"h1"`, `17`, `f:3: /hostId: expected string, got number`},
		{"missing key", `"peerAddress": "127.0.0.1:7002",`, ``, `f:1: /peerAddress: expected a value, got nothing`},
		{"short value", `secret-token`, `short`, `f:8: /operatorToken: expected at least 8 characters, got 5 characters`},
		{"enum", `"hostId"`, `"logLevel": "loud", "hostId"`, `f:3: /logLevel: expected one of "debug", "info", "warning", "error", got "loud"`},
		{"below minimum", `"hostId"`, `"queueLength": 0, "hostId"`, `f:3: /queueLength: expected at least 1, got 0`},
		{"number too large", `"hostId"`, `"queueLength": 1e30, "hostId"`, `f:3: /queueLength: expected a value of type int, got number 1e30`},
		{"not an address", `127.0.0.1:7002`, `localhost`, `f:6: /peerAddress: expected ip:port, got "localhost"`},
		{"shared address", `:7002`, `:7001`, `f:6: /peerAddress: expected an address of its own, got the address of /callerAddress`},
		{"repeated key", `"hostId"`, "\"hostId\": \"h0\",\n\"hostId\"", `f:4: /hostId: expected each key once, got a repeated key`},
		{"repeated nested key", `"hostId"`, `"seedPeers": [{"hostId": "a", "hostId": "b"}], "hostId"`, `f:3: /seedPeers/0/hostId: expected each key once`},
		{"peer with the id of the host", `"hostId"`, `"seedPeers": [{"hostId": "h1", "failureDomain": "a", "peerAddress": "127.0.0.1:1"}], "hostId"`, `f:3: /seedPeers/0/hostId: expected a host id other than`},
		{"not a URL", `http://127.0.0.1:7000`, `127.0.0.1`, `f:9: /platformUrl: expected an http URL with a host`},
		{"syntax", `"h1",`, `"h1"`, `f:4: /: expected JSON with comments`},
		{"drain times", `"hostId"`, `"drainLagMs": 30000, "hostId"`, `f:3: /drainLagMs: expected less than drainTimeoutMs (30000), got 30000`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode("f", []byte(strings.Replace(minimalSettings, c.old, c.new, 1)))
			must.Error(t, err)
			must.StrContains(t, err.Error(), c.want)
		})
	}
	text := strings.NewReplacer(`"h1"`, `17`, `secret-token`, `short`).Replace(minimalSettings)
	_, err := Decode("f", []byte(text))
	var problems Problems
	must.True(t, errors.As(err, &problems))
	must.Len(t, 2, problems)
}
