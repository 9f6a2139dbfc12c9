package timeline

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
)

const testCapacity = 64

// Guards against an effect that is listed before its cause when hosts whose clocks are off by up to 30 s exchange messages.
func TestMergedOrderRespectsCauseAndEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		rings := make([]*Ring, hosts)
		clocks := make([]*clock.Manual, hosts)
		for i := range rings {
			skew := time.Duration(rapid.IntRange(-30_000, 30_000).Draw(t, "skewMs")) * time.Millisecond
			clocks[i] = clock.NewManual(time.Unix(1_000_000, 0).Add(skew))
			rings[i] = NewRing(string(rune('a'+i)), "d", testCapacity, clocks[i])
		}
		type pair struct{ cause, effect string }
		var pairs []pair
		for i := range rapid.IntRange(1, 20).Draw(t, "messages") {
			from, to := rapid.IntRange(0, hosts-1).Draw(t, "from"), rapid.IntRange(0, hosts-1).Draw(t, "to")
			clocks[from].Advance(time.Duration(rapid.IntRange(0, 50).Draw(t, "stepMs")) * time.Millisecond)
			cause, effect := "cause"+string(rune('A'+i)), "effect"+string(rune('A'+i))
			rings[from].Record(api.Event{Kind: api.EventKindGangPlaced, Subject: cause})
			rings[to].HLC().Observe(rings[from].HLC().Now())
			rings[to].Record(api.Event{Kind: api.EventKindGangStarted, Subject: effect})
			pairs = append(pairs, pair{cause, effect})
		}
		var pages []api.TimelinePage
		for _, r := range rings {
			pages = append(pages, r.Page(1, testCapacity))
		}
		at := map[string]int{}
		for i, e := range Merge(pages, nil, Filter{}).Events {
			at[e.Subject] = i
		}
		for _, p := range pairs {
			if at[p.cause] >= at[p.effect] {
				t.Fatalf("%s is at %d, %s at %d", p.cause, at[p.cause], p.effect, at[p.effect])
			}
		}
	})
}

// Guards against events that are missing without a warning after the ring has wrapped around, and against wrong events at the wrap-around.
func TestRingReportsOverwrittenEvents(t *testing.T) {
	r := NewRing("h1", "d1", 4, clock.NewManual(time.Unix(5, 0)))
	for range 10 {
		r.Record(api.Event{Kind: api.EventKindViewChanged})
	}
	page := r.Page(1, 100)
	must.Eq(t, 7, page.OldestSeq)
	must.Eq(t, 11, page.NextSeq)
	must.Len(t, 4, page.Events)
	must.Eq(t, 7, page.Events[0].Seq)
	must.Eq(t, 10, page.Events[3].Seq)
	m := Merge([]api.TimelinePage{page}, []string{"h2"}, Filter{})
	must.Eq(t, []string{"host h1: events 1 to 6 were overwritten", "host h2: not reached; its events are missing"}, m.Warnings)
}

// Guards against one host with a clock an hour ahead moving the clocks of all others.
func TestClockAnHourAheadIsNotAdopted(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	h := NewHLC(clk)
	must.False(t, h.Observe(Timestamp{Ms: 1_000_000 + 3_600_000}))
	must.Eq(t, 1_000_000, h.Now().Ms)
	must.Eq(t, 1, h.Rejected())
}

// Guards against a host whose clock is behind the others but is not mentioned in the warnings.
func TestClockAnHourBehindIsReported(t *testing.T) {
	late := NewRing("late", "d1", 4, clock.NewManual(time.Unix(0, 0)))
	late.HLC().last = Timestamp{Ms: 3_600_000}
	m := Merge([]api.TimelinePage{late.Page(1, 4)}, nil, Filter{})
	must.Eq(t, []string{"host late: clock is at least 3600000 ms behind the other hosts"}, m.Warnings)
}

// Guards against a filter field that Match ignores, and against a time window that excludes its bounds.
func TestFilterSelectsByEachField(t *testing.T) {
	e := api.Event{JobID: "j", Team: "t", WorkerID: "w", HostID: "h", FailureDomain: "d", HlcMS: 50}
	cases := []struct {
		name string
		f    Filter
		want bool
	}{
		{"empty filter", Filter{}, true},
		{"matching job", Filter{JobID: "j"}, true},
		{"other job", Filter{JobID: "x"}, false},
		{"other team", Filter{Team: "x"}, false},
		{"other worker", Filter{WorkerID: "x"}, false},
		{"other host", Filter{HostID: "x"}, false},
		{"other failure domain", Filter{FailureDomain: "x"}, false},
		{"before the window", Filter{FromMs: 51}, false},
		{"after the window", Filter{ToMs: 49}, false},
		{"inside the window", Filter{FromMs: 50, ToMs: 50}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, c.f.Match(e)) })
	}
}

// lossyObjects is an object store that stores every object and reports an error if loseResponse is set.
type lossyObjects struct {
	data         map[string][]byte
	loseResponse bool
}

func (o *lossyObjects) Put(_ context.Context, name string, data []byte) error {
	o.data[name] = bytes.Clone(data)
	if o.loseResponse {
		return errors.New("answer lost")
	}
	return nil
}

func (o *lossyObjects) Get(_ context.Context, name string) ([]byte, error) { return o.data[name], nil }

// Guards against duplicate or missing events when the object store accepts a batch but its response is lost.
func TestArchiveIsCompleteAfterLostAnswers(t *testing.T) {
	r := NewRing("h1", "d1", 100, clock.NewManual(time.Unix(5, 0)))
	objects := &lossyObjects{data: map[string][]byte{}}
	a := NewArchiver(r, objects, "timeline/d1/h1")
	for i := range 30 {
		r.Record(api.Event{Kind: api.EventKindJobSubmitted})
		objects.loseResponse = i%3 == 0
		_, _ = a.Flush(context.Background())
	}
	objects.loseResponse = false
	_, err := a.Flush(context.Background())
	must.NoError(t, err)
	seen := map[int]int{}
	for _, data := range objects.data {
		events, err := ReadBatch(data)
		must.NoError(t, err)
		for _, e := range events {
			seen[e.Seq]++
		}
	}
	must.MapLen(t, 30, seen)
	for seq, n := range seen {
		must.Eq(t, 1, n, must.Sprintf("event %d", seq))
	}
}

// Guards against text of an event or warning being interpreted as markup in the SVG picture.
func TestPictureEscapesText(t *testing.T) {
	m := Merged{Events: []api.Event{{HostID: "<h>", Kind: api.EventKindJobRefused, Reason: "a<b", HlcMS: 1}}, Warnings: []string{"x & y"}}
	var b bytes.Buffer
	must.NoError(t, WriteSVG(&b, m))
	must.StrContains(t, b.String(), "&lt;h&gt;")
	must.StrContains(t, b.String(), "x &amp; y")
	must.False(t, strings.Contains(b.String(), "a<b"))
}
