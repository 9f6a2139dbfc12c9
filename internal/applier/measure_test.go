package applier

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/jobs"
)

// countingClient counts the renewals, the reports and the bytes of their bodies.
type countingClient struct {
	*directClient
	renewals, reports int
	bytes             int
}

func encodedBytes(values ...any) int {
	n := 0
	for _, v := range values {
		data, _ := json.Marshal(v)
		n += len(data)
	}
	return n
}

func (s *countingClient) Renew(ctx context.Context, w api.HostEntry, cmd api.LeaseCommand) (api.LeaseResponse, error) {
	r, err := s.directClient.Renew(ctx, w, cmd)
	s.renewals, s.bytes = s.renewals+1, s.bytes+encodedBytes(cmd, r)
	return r, err
}

func (s *countingClient) Report(ctx context.Context, w api.HostEntry) (api.WorkerReport, error) {
	r, err := s.directClient.Report(ctx, w)
	s.reports, s.bytes = s.reports+1, s.bytes+encodedBytes(r)
	return r, err
}

func (f *fleet) submitAll(t *testing.T, n, parts, accelerators int, run time.Duration) []string {
	t.Helper()
	ids := make([]string, 0, n)
	for i := range n {
		id, err := f.submit(spec(fmt.Sprintf("job%d", i), parts, accelerators, run))
		must.NoError(t, err)
		ids = append(ids, id)
	}
	return ids
}

func (f *fleet) live(t *testing.T) int {
	t.Helper()
	rows, err := f.store.Live(context.Background(), testDomain)
	must.NoError(t, err)
	return len(rows)
}

// Guards the table against load from jobs: the number of writes grows with the groups of jobs, not with jobs or tasks, and lease renewals and
// reports write nothing. Submissions are not counted.
func TestTableCostOfJobs(t *testing.T) {
	const seconds = 60
	for _, parts := range []int{1, 4} {
		for _, n := range []int{25, 50, 100, 200} {
			f := newFleet(100)
			c := f.ready(&directClient{f: f})
			f.submitAll(t, n, parts, 0, 30*time.Second)
			before := f.table.Stats()
			f.run(seconds*time.Second, c)
			after := f.table.Stats()
			must.EqOp(t, 0, f.live(t))
			writes, reads := after.Writes-before.Writes, after.Reads-before.Reads
			t.Logf("%d jobs of %d parts: %d writes (%.3f a job, %.3f a task), %d reads", n, parts, writes,
				float64(writes)/float64(n), float64(writes)/float64(n*parts), reads)
			must.LessEq(t, uint64(8+4*(n/maxTxnChanges+1)), writes)
			must.LessEq(t, uint64(seconds+8), reads)
		}
	}
}

// Guards against lost gangs in a failover: a new controller renews the leases of the running gangs before one expires.
func TestRebuild(t *testing.T) {
	for _, workers := range []int{50, 880} {
		f := newFleet(workers)
		f.submitAll(t, workers/2, 4, 1, time.Hour)
		old := f.ready(&directClient{f: f})
		f.run(10*time.Second, old)
		started := len(f.history())
		must.EqOp(t, workers/2*4, started)
		from, wallStart := f.clock.Now(), time.Now()
		d := &directClient{f: f}
		c := f.controller(d, alwaysPreferred(from))
		steps := 0
		for renewed := false; !renewed; steps++ {
			f.run(250*time.Millisecond, c)
			renewed = true
			for _, j := range c.jobs {
				renewed = renewed && !j.lastLeaseSent.IsZero()
			}
		}
		t.Logf("%d workers, %d gangs: all renewed after %d steps, %s of step time, %d messages", workers, workers/2, steps, time.Since(wallStart), d.messages)
		must.LessEq(t, 4, steps)
		f.run(15*time.Second, c)
		must.EqOp(t, started, len(f.history()), must.Sprint("a gang was started again"))
		must.EqOp(t, 0, f.count(api.EventKindGangRestarted))
	}
}

// Guards against the cost of many simultaneous cancellations: writes grow with the groups of jobs, and no lease remains active.
func TestCancellationWave(t *testing.T) {
	const wave, running = 2000, 200
	f := newFleet(50)
	d := &directClient{f: f, counts: map[string]int{}}
	c := f.ready(d)
	ids := f.submitAll(t, wave, 1, 1, time.Hour)
	f.run(15*time.Second, c)
	must.EqOp(t, running, len(f.history()))
	var list []jobs.Cancellation
	for _, id := range ids {
		list = append(list, jobs.Cancellation{ID: id})
	}
	before, stops, from := f.table.Stats().Writes, d.counts["stop"], f.clock.Now()
	_, err := f.store.CancelAll(context.Background(), list)
	must.NoError(t, err)
	for f.live(t) > 0 {
		f.run(250*time.Millisecond, c)
	}
	writes := f.table.Stats().Writes - before
	t.Logf("%d cancellations, %d of them running: %d writes, %d stop messages, %s", wave, running, writes, d.counts["stop"]-stops, f.clock.Now().Sub(from))
	must.LessEq(t, uint64(2*wave/maxTxnChanges+8), writes)
	must.LessEq(t, 50, d.counts["stop"]-stops)
	must.LessEq(t, 10*time.Second, f.clock.Now().Sub(from))
	for _, r := range f.history() {
		must.False(t, r.End.IsZero())
	}
	for _, id := range ids {
		must.EqOp(t, api.JobRecordPhaseCancelled, f.phase(id))
	}
}

// Guards the control traffic of a worker against exceeding its target of 6 KB/s; logs that of a gang as well.
func TestControlTraffic(t *testing.T) {
	for _, n := range []int{20, 40, 80, 120} {
		f := newFleet(20)
		s := &countingClient{directClient: &directClient{f: f}}
		c := f.ready(s)
		for i := range n {
			small := spec(fmt.Sprint(i), 4, 0, time.Hour)
			small.Cores, small.MemoryGb = 0, 2
			_, err := f.submit(small)
			must.NoError(t, err)
		}
		f.run(10*time.Second, c)
		must.EqOp(t, 4*n, len(f.history()))
		s.renewals, s.reports, s.bytes = 0, 0, 0
		const seconds = 60
		f.run(seconds*time.Second, c)
		t.Logf("%d tasks on 20 workers: %.2f renewals and %.2f reports a second, %.0f B/s a gang, %.0f B/s a worker", 4*n,
			float64(s.renewals)/seconds, float64(s.reports)/seconds, float64(s.bytes)/seconds/float64(n), float64(s.bytes)/seconds/20)
		must.Less(t, 6000*20*seconds, s.bytes)
	}
}

// Guards against a wrong final phase when a cancellation races with the end of the job: the phase agrees with the runs on the workers and
// with the response to the cancellation, and both outcomes occur.
func TestCancelRacesTheEnd(t *testing.T) {
	outcomes := map[api.JobRecordPhase]int{}
	for quarter := range 16 {
		f := newFleet(2)
		c := f.ready(&directClient{f: f})
		id := f.submitAll(t, 1, 2, 1, 2*time.Second)[0]
		f.run(time.Duration(quarter)*250*time.Millisecond, c)
		j, err := f.store.Cancel(context.Background(), id)
		must.NoError(t, err)
		f.run(5*time.Second, c)
		phase := f.phase(id)
		outcomes[phase]++
		must.True(t, jobs.Ended(phase))
		must.True(t, !jobs.Ended(j.Phase) || j.Phase == phase)
		for _, r := range f.history() {
			must.EqOp(t, phase == api.JobRecordPhaseSucceeded, r.State == api.LeaseResultStateSucceeded)
		}
	}
	must.MapLen(t, 2, outcomes)
}
