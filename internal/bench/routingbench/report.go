package routingbench

import (
	"fmt"
	"io"
	"slices"
	"time"

	"samphirewell/internal/queue"
)

// bucketWidth is the resolution of the goodput over time.
const bucketWidth = 500 * time.Millisecond

// stats are the measurements of a run. Latencies are measured from the arrival of the first attempt.
type stats struct {
	end               time.Duration // end of the period that answeredBeforeEnd covers
	answeredBeforeEnd int           // calls of all classes answered before end
	warmUp            time.Duration // calls that arrive before this time are not in latencies and waits
	latencies         [queue.Classes][]time.Duration
	waits             [queue.Classes][]time.Duration // latency minus service time
	failed            [queue.Classes]int             // calls whose last attempt failed
	answered          [queue.Classes]int
	offered           []int // calls per bucket of their arrival
	goodput           []int // calls answered within the deadline of the first attempt, per bucket of their arrival
	sent              int   // attempts sent to executors, including repeated sends after a refusal
	refused           int   // attempts refused by full executors
}

func (s *stats) addOffered(at time.Duration) { s.offered = addToBucket(s.offered, at) }

func (s *stats) addFailed(class queue.Class) { s.failed[class]++ }

func (s *stats) addAnswered(t *attempt, now, _ time.Duration) {
	if now <= t.firstArrival+deadlines[t.class] {
		s.goodput = addToBucket(s.goodput, t.firstArrival)
	}
	if now < s.end {
		s.answeredBeforeEnd++
	}
	s.answered[t.class]++
	if t.firstArrival < s.warmUp {
		return
	}
	s.latencies[t.class] = append(s.latencies[t.class], now-t.firstArrival)
	s.waits[t.class] = append(s.waits[t.class], now-t.firstArrival-t.serviceTime)
}

func addToBucket(buckets []int, at time.Duration) []int {
	i := int(at / bucketWidth)
	for len(buckets) <= i {
		buckets = append(buckets, 0)
	}
	buckets[i]++
	return buckets
}

func quantile(v []time.Duration, q float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

// Row is the result of one policy at one load, for urgent calls.
type Row struct {
	Policy          string
	Load            float64       // offered load as a multiple of the capacity
	P50, P99, P999  time.Duration // latency
	Wait99, Wait999 time.Duration // latency minus service time
	MetPercent      float64       // percentage of urgent calls that were answered before their deadline
	Goodput         float64       // answered calls of all classes as a multiple of the capacity
	RefusedPerCall  float64       // refusals by full executors per offered call
}

var policies = []struct {
	name      string
	newPolicy func(s *sim, host int) policy
}{
	{"random", func(s *sim, _ int) policy { return &randomPolicy{sim: s} }},
	{"round-robin", func(_ *sim, host int) policy { return &roundRobinPolicy{next: host * executors / hosts} }},
	{"two-choices", func(s *sim, _ int) policy { return newTwoChoicesPolicy(s) }},
	{"leases", func(s *sim, host int) policy { return newSlotShares(s, host) }},
	{"pull", func(s *sim, host int) policy { return newPullPolicy(s, host) }},
}

// Measure runs one policy at a constant load for the given simulated duration.
func Measure(name string, load float64, duration time.Duration, seed uint64) Row {
	i := slices.IndexFunc(policies, func(p struct {
		name      string
		newPolicy func(s *sim, host int) policy
	}) bool {
		return p.name == name
	})
	s := newSim(seed, policies[i].newPolicy)
	s.load = func(time.Duration) float64 { return load }
	s.arrivalsUntil = duration
	s.stats.warmUp, s.stats.end = duration/5, duration
	s.callers.maxAttempts = 1
	s.run()
	return s.row(name, load)
}

func (s *sim) row(name string, load float64) Row {
	u := queue.Urgent
	offered := 0
	for _, n := range s.stats.offered {
		offered += n
	}
	return Row{
		Policy: name, Load: load,
		P50: quantile(s.stats.latencies[u], 0.5), P99: quantile(s.stats.latencies[u], 0.99), P999: quantile(s.stats.latencies[u], 0.999),
		Wait99: quantile(s.stats.waits[u], 0.99), Wait999: quantile(s.stats.waits[u], 0.999),
		MetPercent:     100 * float64(s.stats.answered[u]) / float64(max(1, s.stats.answered[u]+s.stats.failed[u])),
		Goodput:        float64(s.stats.answeredBeforeEnd) / (s.arrivalsUntil.Seconds() * executors * slots / meanService.Seconds()),
		RefusedPerCall: float64(s.stats.refused) / float64(max(1, offered)),
	}
}

// Recovery is the result of an overload run.
type Recovery struct {
	RetryBudget   bool
	Recovered     bool
	Time          time.Duration // from the end of the overload until 95% of the arriving calls are answered within their deadline
	GoodputDuring float64       // calls that arrived during the overload and were answered within their deadline, as a multiple of the capacity
	SentPerCall   float64       // sends to executors per offered call
}

const (
	overloadStart = 5 * time.Second
	overloadEnd   = overloadStart + 30*time.Second
	overloadTotal = overloadEnd + 30*time.Second
)

// Overload runs the policy "two-choices" for 5 s at 0.7 times the capacity, 30 s at 3 times the capacity and 30 s at 0.7 times the capacity again.
// Callers make up to five attempts.
func Overload(retryBudget bool, seed uint64) Recovery {
	s := newSim(seed, func(s *sim, _ int) policy { return newTwoChoicesPolicy(s) })
	s.arrivalsUntil = overloadTotal
	s.callers = callerPolicy{maxAttempts: 5, retryBudget: retryBudget}
	s.load = func(at time.Duration) float64 {
		if at >= overloadStart && at < overloadEnd {
			return 3
		}
		return 0.7
	}
	s.run()
	return s.recovery(retryBudget)
}

func (s *sim) recovery(retryBudget bool) Recovery {
	r := Recovery{RetryBudget: retryBudget}
	end, last := int(overloadEnd/bucketWidth), int(overloadTotal/bucketWidth)
	i := last
	for i > end && float64(bucketCount(s.stats.goodput, i-1)) >= 0.95*float64(bucketCount(s.stats.offered, i-1)) {
		i--
	}
	r.Recovered, r.Time = i < last, time.Duration(i-end)*bucketWidth
	during, offered := 0, 0
	for b := int(overloadStart / bucketWidth); b < end; b++ {
		during += bucketCount(s.stats.goodput, b)
	}
	for _, n := range s.stats.offered {
		offered += n
	}
	r.GoodputDuring = float64(during) / ((overloadEnd - overloadStart).Seconds() * executors * slots / meanService.Seconds())
	r.SentPerCall = float64(s.stats.sent) / float64(offered)
	return r
}

func bucketCount(buckets []int, i int) int {
	if i < len(buckets) {
		return buckets[i]
	}
	return 0
}

// Report runs all measurements and prints them as tables.
func Report(w io.Writer, duration time.Duration, seed uint64) {
	fmt.Fprintf(w, "urgent calls, %d executors of %d slots, %d entry hosts, mean service %v, %v simulated, seed %d\n", executors, slots, hosts, meanService, duration, seed)
	fmt.Fprintf(w, "%-12s %5s %9s %9s %9s %9s %9s %7s %8s %9s\n", "policy", "load", "p50", "p99", "p99.9", "wait p99", "wait p999", "met %", "goodput", "refusals")
	for _, load := range []float64{0.7, 0.9, 1.5} {
		for _, p := range policies {
			r := Measure(p.name, load, duration, seed)
			fmt.Fprintf(w, "%-12s %5.1f %9s %9s %9s %9s %9s %7.2f %8.3f %9.2f\n", r.Policy, r.Load, ms(r.P50), ms(r.P99), ms(r.P999), ms(r.Wait99), ms(r.Wait999), r.MetPercent, r.Goodput, r.RefusedPerCall)
		}
	}
	for _, retryBudget := range []bool{false, true} {
		r := Overload(retryBudget, seed)
		fmt.Fprintf(w, "triple overload, retry budget %-5v recovered %v after %v, goodput during overload %.3f, sendings per call %.2f\n", r.RetryBudget, r.Recovered, r.Time, r.GoodputDuring, r.SentPerCall)
	}
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond)) }
