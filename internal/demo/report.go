package demo

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/outcome"
)

// Report is the result of a run.
type Report struct {
	Deployment string        `json:"deployment"`
	Seconds    float64       `json:"seconds"` // duration of the load
	Calls      []callSummary `json:"calls"`
	Refusals   []refusal     `json:"refusals"`
	Platform   platformLoad  `json:"platform"`
	Promises   []check       `json:"promises"`
}

// callSummary is the result of one kind of call. Latencies are those of answered calls, in milliseconds.
type callSummary struct {
	Method   string  `json:"method"`
	Class    string  `json:"class"`
	Calls    int     `json:"calls"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"notRun"`
	Unknown  int     `json:"unknown"`
	P50      float64 `json:"p50Ms"`
	P95      float64 `json:"p95Ms"`
	P99      float64 `json:"p99Ms"`
}

type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Calls   int    `json:"calls"`
}

// platformLoad is the load on the platform's services by all hosts together.
type platformLoad struct {
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

func newReport(d deployment, samples []sample, length time.Duration, checks []check, s *system) *Report {
	r := &Report{Deployment: d.Name, Seconds: length.Seconds(), Promises: checks, Refusals: refusals(samples)}
	for _, t := range d.Traffic {
		r.Calls = append(r.Calls, summarize(t, samples))
	}
	stats := s.platform.Stats()
	r.Platform = platformLoad{float64(stats.Reads) / r.Seconds, float64(stats.Writes) / r.Seconds}
	return r
}

func summarize(t traffic, samples []sample) callSummary {
	c := callSummary{Method: t.Method, Class: string(t.Class)}
	var ms []float64
	for _, s := range samples {
		if s.traffic.Method != t.Method {
			continue
		}
		c.Calls++
		switch s.outcome.Kind {
		case outcome.Answered:
			c.Answered++
			ms = append(ms, float64(s.duration)/float64(time.Millisecond))
		case outcome.NotRun:
			c.NotRun++
		default:
			c.Unknown++
		}
	}
	slices.Sort(ms)
	c.P50, c.P95, c.P99 = percentile(ms, 50), percentile(ms, 95), percentile(ms, 99)
	return c
}

// percentile returns the p-th percentile of sorted values, 0 if there are none.
func percentile(sorted []float64, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*p/percentScale)]
}

func refusals(samples []sample) []refusal {
	counts := map[refusal]int{}
	for _, s := range samples {
		if s.outcome.Kind != outcome.Answered {
			counts[refusal{Outcome: s.outcome.Kind.String(), Reason: string(s.outcome.Reason)}]++
		}
	}
	out := []refusal{}
	for r, n := range counts {
		r.Calls = n
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b refusal) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Outcome+a.Reason, b.Outcome+b.Reason))
	})
	return out
}

// Violations returns the number of violations over all promises.
func (r *Report) Violations() int {
	n := 0
	for _, c := range r.Promises {
		n += c.Violations
	}
	return n
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write report")
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("\nmethod\tclass\tcalls\tanswered\tnot run\tunknown\tp50 ms\tp95 ms\tp99 ms")
	for _, c := range r.Calls {
		line("%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f", c.Method, c.Class, c.Calls, c.Answered, c.NotRun, c.Unknown, c.P50, c.P95, c.P99)
	}
	line("\noutcome\treason\tcalls")
	for _, x := range r.Refusals {
		line("%s\t%s\t%d", x.Outcome, x.Reason, x.Calls)
	}
	line("\nplatform: %.1f reads/s, %.1f writes/s", r.Platform.ReadsPerSecond, r.Platform.WritesPerSecond)
	line("\npromise\tcases\tviolations")
	for _, c := range r.Promises {
		line("%s\t%d\t%d", c.Promise, c.Cases, c.Violations)
		for _, e := range c.Examples {
			line("  %s", e)
		}
	}
	return errors.Wrap(t.Flush(), "write report")
}
