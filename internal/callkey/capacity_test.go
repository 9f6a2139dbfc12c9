package callkey

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/outcome"
)

func domainOf(size int) []string { return slices.Repeat([]string{"a"}, size) }

// startReady starts the hosts of the given domains and waits until a first attempt for a key of the last host of the first domain is
// granted, which is MaxTransit after the start.
func startReady(tb testing.TB, domains ...string) (nodes []*node, owner string) {
	nodes = startNodes(tb, domains...)
	size := 0
	for _, d := range domains {
		if d == domains[0] {
			size++
		}
	}
	eventually(tb, "all hosts act", allActing(nodes[:size], size))
	owner = nodes[size-1].host.ID
	eventually(tb, "claims are granted", func() bool {
		d := nodes[0].claimer.Claim(context.Background(), Call{Team: "t", Key: keyOwnedBy(nodes[0], owner), Attempt: 1}, time.Now().Add(time.Second))
		return d.Kind == Granted
	})
	return nodes, owner
}

// BenchmarkClaim measures a claim and its finish at a key owner on another host; each takes one round trip.
func BenchmarkClaim(b *testing.B) {
	nodes, owner := startReady(b, domainOf(3)...)
	for _, mode := range []string{"claim", "finish"} {
		b.Run(mode, func(b *testing.B) {
			grants := make([]Grant, 0, b.N)
			keys := keysOwnedBy(nodes[0], owner, mode, b.N)
			b.ResetTimer()
			finish := mode == "finish"
			if finish {
				b.StopTimer()
			}
			for i := range b.N {
				call := Call{Team: mode, Key: keys[i], Attempt: 1}
				d := nodes[0].claimer.Claim(context.Background(), call, time.Now().Add(time.Minute))
				must.Eq(b, Granted, d.Kind)
				grants = append(grants, d.Grant)
			}
			if finish {
				b.StartTimer()
				for _, g := range grants {
					must.NoError(b, nodes[0].claimer.Finish(context.Background(), g, outcome.Answer(200, []byte("ok"))))
				}
			}
		})
	}
}

// keysOwnedBy returns n keys of the team that the host owns and that no earlier call returned.
func keysOwnedBy(at *node, owner, team string, n int) []string {
	keys := make([]string, 0, n)
	for len(keys) < n {
		keySeq++
		if k := fmt.Sprintf("key-%d", keySeq); at.members.Owner(KeyName(team, k)) == owner {
			keys = append(keys, k)
		}
	}
	return keys
}

// keySeq is the number of the last key that keysOwnedBy has tried.
var keySeq int

// BenchmarkControlTraffic reports the control messages and bytes that a host sends per second without calls, and the
// processor time of all hosts divided by their number, as a function of the domain size. Run with -benchtime 1x.
func BenchmarkControlTraffic(b *testing.B) {
	const window = 5 * time.Second
	for _, size := range []int{2, 3, 5, 7} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			nodes := startNodes(b, domainOf(size)...)
			eventually(b, "all hosts act", allActing(nodes, size))
			for range b.N {
				messages, bytes, cpu := totals(nodes)
				time.Sleep(window)
				messages2, bytes2, cpu2 := totals(nodes)
				per := window.Seconds() * float64(size)
				b.ReportMetric(float64(messages2-messages)/per, "msg/s/host")
				b.ReportMetric(float64(bytes2-bytes)/per, "B/s/host")
				b.ReportMetric(100*(cpu2-cpu).Seconds()/per, "%core/host")
			}
			for _, n := range nodes {
				n.stop()
			}
		})
	}
}

func totals(nodes []*node) (messages, bytes int64, cpu time.Duration) {
	for _, n := range nodes {
		t := n.stats.TotalSent()
		messages, bytes = messages+t.Messages, bytes+t.Bytes
	}
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return messages, bytes, time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against a retry that runs the call again in a second failure domain, and against a first attempt that runs after its retry was
// granted in another domain.
func TestRetryInAnotherDomainOverSockets(t *testing.T) {
	nodes, _ := startReady(t, "a", "a", "b", "b")
	eventually(t, "both domains act and are linked", func() bool {
		return allActing(nodes, 2)() && len(nodes[0].members.LivePeers("b")) > 0 && len(nodes[2].members.LivePeers("a")) > 0
	})
	deadline := func() time.Time { return time.Now().Add(time.Minute) }
	ran := Call{Team: "t", Key: "ran", Attempt: 1}
	d := nodes[0].claimer.Claim(t.Context(), ran, deadline())
	must.Eq(t, Granted, d.Kind)
	must.NoError(t, nodes[0].claimer.Finish(t.Context(), d.Grant, outcome.Answer(200, []byte("5"))))

	ran.Attempt = 2
	eventually(t, "the other domain returns the stored outcome", func() bool {
		d = nodes[2].claimer.Claim(t.Context(), ran, deadline())
		return d.Kind == Finished
	})
	must.Eq(t, outcome.Answer(200, []byte("5")), d.Outcome)

	fresh := Call{Team: "t", Key: "fresh", Attempt: 2}
	must.Eq(t, Granted, nodes[3].claimer.Claim(t.Context(), fresh, deadline()).Kind)
	late := nodes[0].claimer.Claim(t.Context(), Call{Team: "t", Key: "fresh", Attempt: 1}, deadline())
	must.Eq(t, Decision{Kind: Refused, Outcome: outcome.Refuse(outcome.KeyTombstone, 0), Grant: late.Grant}, late)
}
