package callkey

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/member"
	"samphirewell/internal/outcome"
	"samphirewell/internal/peer"
)

// node is an entry host that listens on a TCP socket.
type node struct {
	host    member.Host
	members *member.Service
	claimer *Claimer
	stats   *peer.Stats
	stop    func()
}

// startNodes starts one entry host for each domain name in domains; hosts are called h0, h1 and so on.
func startNodes(tb testing.TB, domains ...string) []*node {
	var seeds []member.Host
	var listeners []net.Listener
	for i, d := range domains {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(tb, err)
		listeners = append(listeners, ln)
		seeds = append(seeds, member.Host{ID: fmt.Sprintf("h%d", i), Domain: d, Address: ln.Addr().String()})
	}
	var nodes []*node
	for i, h := range seeds {
		n := startNode(tb, h, seeds, listeners[i])
		tb.Cleanup(n.stop)
		nodes = append(nodes, n)
	}
	return nodes
}

func startNode(tb testing.TB, h member.Host, seeds []member.Host, ln net.Listener) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := peer.Identity{Domain: h.Domain, Host: api.HostIdentity{ID: h.ID, Incarnation: 1}}
	stats := peer.NewStats()
	pool := peer.NewPool(self, (&net.Dialer{}).DialContext, clock.Real{}, stats)
	members := member.New(member.Options{Self: self, Seeds: seeds, Clock: clock.Real{}, Pool: pool, Log: log})
	keys := NewService(members, clock.Real{})
	methods := peer.Registry{}
	members.Register(methods)
	keys.Register(methods)
	server := peer.NewServer(self, methods, stats)
	go server.Serve(ln, func(error, int) {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		members.Run(ctx)
		close(done)
	}()
	stop := func() {
		cancel()
		<-done
		_ = ln.Close()
		server.Close()
		pool.Close()
	}
	return &node{host: h, members: members, claimer: NewClaimer(members, keys, clock.Real{}), stats: stats, stop: stop}
}

// eventually waits until cond holds. The time limit of one minute is far above the time that any machine needs.
func eventually(tb testing.TB, what string, cond func() bool) {
	tb.Helper()
	for end := time.Now().Add(time.Minute); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("not reached: %s", what)
		}
	}
}

func allActing(nodes []*node, size int) func() bool {
	return func() bool {
		for _, n := range nodes {
			if len(n.members.View().Members) != size || !n.members.Acting() {
				return false
			}
		}
		return true
	}
}

// keyOwnedBy returns a key of team t that the host owns.
func keyOwnedBy(n *node, host string) string {
	for i := 0; ; i++ {
		if key := fmt.Sprintf("k%d", i); n.members.Owner(KeyName("t", key)) == host {
			return key
		}
	}
}

// Guards against hosts that do not form a view over sockets, and against a second run of a key through another host.
func TestThreeHostsFormAViewAndShareClaims(t *testing.T) {
	nodes := startNodes(t, "a", "a", "a")
	eventually(t, "view of 3", allActing(nodes, 3))
	deadline := func() time.Time { return time.Now().Add(30 * time.Second) }
	key := keyOwnedBy(nodes[0], "h2")
	call := Call{Team: "t", Key: key, Attempt: 1}
	var grant Grant
	eventually(t, "first attempt is granted", func() bool {
		d := nodes[0].claimer.Claim(t.Context(), call, deadline())
		grant = d.Grant
		return d.Kind == Granted
	})
	must.NoError(t, nodes[0].claimer.Finish(t.Context(), grant, outcome.Answer(200, []byte("price 5"))))

	call.Attempt = 2
	d := nodes[1].claimer.Claim(t.Context(), call, deadline())
	must.Eq(t, Finished, d.Kind)
	must.Eq(t, outcome.Answer(200, []byte("price 5")), d.Outcome)

	nodes[0].members.Leave(t.Context())
	must.False(t, nodes[0].members.Acting())
	eventually(t, "view of 2 after an announced leave", allActing(nodes[1:], 2))
}
