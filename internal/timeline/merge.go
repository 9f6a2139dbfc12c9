package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"samphirewell/internal/api"
)

// SkewWarningMs is how far a host's wall clock may be behind its hybrid logical clock, in milliseconds, before the merged timeline
// warns about clock skew of that host.
const SkewWarningMs = 5_000

// Filter selects events. Empty fields select everything.
type Filter struct {
	JobID, Team, WorkerID, HostID, FailureDomain string
	FromMs, ToMs                                 int // hybrid logical time, Unix milliseconds; ToMs 0 means no end
}

// Match reports whether e passes the filter.
func (f Filter) Match(e api.Event) bool {
	eq := func(want, got string) bool { return want == "" || want == got }
	return eq(f.JobID, e.JobID) && eq(f.Team, e.Team) && eq(f.WorkerID, e.WorkerID) && eq(f.HostID, e.HostID) &&
		eq(f.FailureDomain, e.FailureDomain) && e.HlcMS >= f.FromMs && (f.ToMs == 0 || e.HlcMS <= f.ToMs)
}

// Merged is the timeline of several hosts.
type Merged struct {
	Events   []api.Event
	Warnings []string // hosts that were not reached, overwritten events, skewed clocks
}

// Merge orders the events of all pages by hybrid logical time, drops duplicates, and applies the filter. Pages of the same host may
// overlap. unreachable names the hosts that did not respond.
func Merge(pages []api.TimelinePage, unreachable []string, f Filter) Merged {
	var m Merged
	for _, h := range unreachable {
		m.Warnings = append(m.Warnings, fmt.Sprintf("host %s: not reached; its events are missing", h))
	}
	for _, p := range pages {
		m.Warnings = append(m.Warnings, pageWarnings(p)...)
		for _, e := range p.Events {
			if f.Match(e) {
				m.Events = append(m.Events, e)
			}
		}
	}
	slices.SortFunc(m.Events, compareEvents)
	m.Events = slices.CompactFunc(m.Events, func(a, b api.Event) bool { return a.HostID == b.HostID && a.Seq == b.Seq && a.WallMS == b.WallMS })
	slices.Sort(m.Warnings)
	m.Warnings = slices.Compact(m.Warnings)
	return m
}

func pageWarnings(p api.TimelinePage) []string {
	var out []string
	if p.OldestSeq > 1 {
		out = append(out, fmt.Sprintf("host %s: events 1 to %d were overwritten", p.HostID, p.OldestSeq-1))
	}
	if d := p.HlcMS - p.WallMS; d > SkewWarningMs {
		out = append(out, fmt.Sprintf("host %s: clock is at least %d ms behind the other hosts", p.HostID, d))
	}
	return out
}

func compareEvents(a, b api.Event) int {
	return cmp.Or(cmp.Compare(a.HlcMS, b.HlcMS), cmp.Compare(a.HlcCount, b.HlcCount), strings.Compare(a.HostID, b.HostID), cmp.Compare(a.Seq, b.Seq))
}
