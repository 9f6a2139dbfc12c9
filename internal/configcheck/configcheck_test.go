package configcheck

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
)

func val[T any](v T) Value[T] { return Value[T]{V: v, Path: "/x", Given: true} }

// queueAt returns a queue without findings.
func queueAt(i int, prefix string) Queue {
	return Queue{Path: fmt.Sprintf("/q/%d", i), Name: val(fmt.Sprint(i)), Host: val("h"), Prefix: val(prefix), Service: val("s"), Attempts: val(int64(1)), Stretch: val(2.0)}
}

func documentOf(queues ...Queue) *Document {
	return &Document{LargestBodyBytes: 1000, Config: Config{Version: val(int64(1)), Queues: queues, Services: []Service{{Name: val("s")}},
		Teams: []Team{{Name: val("t"), Keys: []Value[string]{val("k")}}}}}
}

func codesAt(findings []Finding, path string) (codes []string) {
	for _, f := range findings {
		if f.Path == path {
			codes = append(codes, f.Code)
		}
	}
	return codes
}

// Guards against routes that no request can reach and that the check passes, and against reports on routes that get all their requests.
func TestRoutesAreJudgedAsHostsRoute(t *testing.T) {
	ids := []string{"a", "b", "x", "ab", "ba", "aba", "bab", "abb"}
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfN(rapid.StringMatching(`/([ab]{0,2}/?){0,2}`), 1, 5).Draw(t, "prefixes")
		var queues []Queue
		policy := &batch.Policy{}
		for i, p := range prefixes {
			queues = append(queues, queueAt(i, p))
			policy.Queues = append(policy.Queues, batch.Queue{Name: fmt.Sprint(i), Host: "h", Prefix: p})
		}
		findings := Check(documentOf(queues...), Options{})
		for i, p := range prefixes {
			reached := 0
			for _, id := range ids {
				if q, ok := policy.Route("h", p+id); ok && q.Name == fmt.Sprint(i) {
					reached++
				}
			}
			codes := codesAt(findings, queues[i].Path)
			if slices.Contains(codes, "route_twice") != (reached == 0) || len(codes) == 0 && reached < len(ids) {
				t.Fatalf("route %d of %q gets %d of %d ids; findings: %v", i, prefixes, reached, len(ids), codes)
			}
		}
	})
}

// Guards against objectives and tickets that are judged wrongly at the bounds: a ticket must outlast its request by the margin, and an objective the work and
// one request.
func TestTimesAreJudgedAtTheirBounds(t *testing.T) {
	for _, c := range []struct {
		stretch            float64
		target, valid      int64 // valid 0: without advice
		request, perWorker int64
		codes              []string
	}{
		{stretch: 1, codes: []string{"objective"}},
		{stretch: 1, target: 1},
		{stretch: 1.01},
		{stretch: 0, target: 500},
		{stretch: 0.5, target: 500, codes: []string{"objective_short"}},
		{stretch: 1, target: 301, valid: 4000, request: 300, perWorker: 1, codes: []string{"objective"}},
		{stretch: 1, target: 302, valid: 4000, request: 300, perWorker: 1},
		{stretch: 2, valid: 801, request: 300, perWorker: 1, codes: []string{"ticket_expires"}},
		{stretch: 2, valid: 802, request: 300, perWorker: 1, codes: []string{"ticket_expires_early"}},
		{stretch: 2, valid: 901, request: 300, perWorker: 1}, // 100 workers
		{stretch: 2, target: maxMS + 1, codes: []string{"out_of_range"}},
		{stretch: 2, valid: maxMS, request: maxMS, perWorker: maxMS, codes: []string{"ticket_expires"}},
	} {
		q := queueAt(0, "/p/")
		q.Stretch, q.TargetMS = val(c.stretch), val(c.target)
		q.Advice = Advice{Given: c.valid > 0, PerRequestMS: val(c.request), PerWorkerMS: val(c.perWorker), TicketTTLMS: val(c.valid)}
		must.Eq(t, c.codes, codesAt(Check(documentOf(q), Options{}), "/x"), must.Sprintf("%+v", c))
	}
}
