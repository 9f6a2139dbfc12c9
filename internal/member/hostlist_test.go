package member

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/peer"
)

// Guards against using an empty or old list as evidence of ended hosts, and against dating the evidence too late.
func TestHostListGivesDatedEvidence(t *testing.T) {
	c := clock.NewManual(time.Unix(100, 0))
	s := New(Options{
		Self:  peer.Identity{Domain: "a", Host: api.HostIdentity{ID: "h0", Incarnation: 1}},
		Seeds: []Host{{ID: "h0", Domain: "a"}, {ID: "h1", Domain: "a"}, {ID: "h2", Domain: "b"}},
		Clock: c, Log: logrus.New(),
	})
	entry := api.HostEntry{ID: "h0", FailureDomain: "a", Role: api.HostEntryRoleEntry, Address: "127.0.0.1:1"}
	must.Error(t, s.ObserveHostList(api.HostListResponse{NowMS: 50_000, AsOfMS: 49_000}, c.Now()))
	must.Error(t, s.ObserveHostList(api.HostListResponse{NowMS: 50_000, AsOfMS: 19_000, Hosts: []api.HostEntry{entry}}, c.Now()))
	must.Nil(t, s.core.ended.Hosts)
	must.NoError(t, s.ObserveHostList(api.HostListResponse{NowMS: 50_000, AsOfMS: 40_000, Hosts: []api.HostEntry{entry}}, c.Now()))
	must.Eq(t, EndedHosts{AsOf: c.Now().Add(-10100 * time.Millisecond), Hosts: map[string]bool{"h1": true}}, s.core.ended)
	must.Eq(t, []string{"a", "b"}, s.Domains())
}
