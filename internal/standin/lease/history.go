package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"samphirewell/internal/api"
)

// Run is a run of one part on one worker.
type Run struct {
	WorkerID     string
	JobID        string
	LeaseID      string
	Token        int
	Part         int
	Accelerators []int // held during the run
	Start        time.Time
	End          time.Time // zero while it runs
	State        api.LeaseResultState
}

// endOr returns the end of the run, or now while it runs.
func (r Run) endOr(now time.Time) time.Time {
	if r.End.IsZero() {
		return now
	}
	return r.End
}

// History returns all runs of the worker since its first start, in the order of their start.
func (m *StateMachine) History() []Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sweep()
	return slices.Clone(m.history)
}

// DoubleRuns returns a message for each run that starts before an earlier run of the same part of the same job, or on the same accelerator,
// has ended. The runs may come from several workers if these use the same clock.
func DoubleRuns(runs []Run, now time.Time) []string {
	byPart, byAccelerator := map[string][]Run{}, map[string][]Run{}
	for _, r := range runs {
		part := fmt.Sprintf("job %s part %d", r.JobID, r.Part)
		byPart[part] = append(byPart[part], r)
		for _, a := range r.Accelerators {
			accelerator := fmt.Sprintf("worker %s accelerator %d", r.WorkerID, a)
			byAccelerator[accelerator] = append(byAccelerator[accelerator], r)
		}
	}
	return append(overlaps(byPart, now), overlaps(byAccelerator, now)...)
}

func overlaps(groups map[string][]Run, now time.Time) []string {
	var found []string
	for name, runs := range groups {
		slices.SortFunc(runs, func(a, b Run) int { return a.Start.Compare(b.Start) })
		a := runs[0] // the earlier run that ends last
		for _, b := range runs[1:] {
			if a.endOr(now).After(b.Start) {
				found = append(found, fmt.Sprintf("%s: lease %s on %s and lease %s on %s overlap from %s",
					name, a.LeaseID, a.WorkerID, b.LeaseID, b.WorkerID, b.Start.Format(time.StampMilli)))
			}
			if b.endOr(now).After(a.endOr(now)) {
				a = b
			}
		}
	}
	slices.Sort(found)
	return found
}

// placement identifies one placement of a job by its fencing token.
type placement struct {
	job   string
	token int
}

// PartialGangs returns a message for each placement of which some but not all parts ran for longer than bound without interruption. A part that
// succeeded counts as running from then on, because the parts of a gang may finish one after the other. parts maps each job to its number of parts;
// jobs that are not in it are not checked.
func PartialGangs(runs []Run, parts map[string]int, bound time.Duration, now time.Time) []string {
	placements := map[placement][]Run{}
	for _, r := range runs {
		p := placement{r.JobID, r.Token}
		placements[p] = append(placements[p], r)
	}
	var found []string
	for p, members := range placements {
		if longest := longestPartial(members, parts[p.job], now); longest > bound {
			found = append(found, fmt.Sprintf("job %s token %d: partial gang for %s", p.job, p.token, longest))
		}
	}
	slices.Sort(found)
	return found
}

// runChange is the start or end of a run.
type runChange struct {
	at                 time.Time
	runningOrSucceeded int // added to the number of parts that run or have succeeded
	running            int // added to the number of parts that run
}

// longestPartial returns the longest time during which at least one part ran while another neither ran nor had succeeded.
func longestPartial(runs []Run, parts int, now time.Time) time.Duration {
	var longest time.Duration
	runningOrSucceeded, running := 0, 0
	var since time.Time
	changes := runChanges(runs, now)
	for i, c := range changes {
		runningOrSucceeded += c.runningOrSucceeded
		running += c.running
		if i+1 < len(changes) && changes[i+1].at.Equal(c.at) {
			continue
		}
		if partial := running > 0 && runningOrSucceeded < parts; partial && since.IsZero() {
			since = c.at
		} else if !partial && !since.IsZero() {
			longest = max(longest, c.at.Sub(since))
			since = time.Time{}
		}
	}
	return longest
}

// runChanges returns the starts and ends in the order of time; a run that has not ended is taken to end now.
func runChanges(runs []Run, now time.Time) []runChange {
	var changes []runChange
	for _, r := range runs {
		end := runChange{at: r.endOr(now), runningOrSucceeded: -1, running: -1}
		if r.State == api.LeaseResultStateSucceeded {
			end.runningOrSucceeded = 0
		}
		changes = append(changes, runChange{at: r.Start, runningOrSucceeded: 1, running: 1}, end)
	}
	slices.SortStableFunc(changes, func(a, b runChange) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return changes
}
