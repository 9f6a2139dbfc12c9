package lease

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
)

// TestMain sets the seed of the property tests, so that every run checks the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "300"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const testAccelerators = 4

func newMachine() (*StateMachine, *clock.Manual) {
	c := clock.NewManual(time.Unix(1000, 0))
	return New(Config{WorkerID: "w", Incarnation: "i", Cores: 8, MemoryGB: 16, Accelerators: testAccelerators}, c), c
}

func request(id, job string, token int) api.ReserveRequest {
	return api.ReserveRequest{LeaseID: id, JobID: job, Token: token, Cores: 1, MemoryGb: 1, Accelerators: 2, TtlMS: 5000, RunMS: 60_000}
}

func ref(id, job string, token int) api.LeaseRef {
	return api.LeaseRef{LeaseID: id, JobID: job, Token: token}
}

// mustRun reserves and commits a lease of job "j" with a time to live of 10 s.
func mustRun(t *testing.T, m *StateMachine, id string, token int) {
	must.True(t, m.Reserve(request(id, "j", token)).Ok)
	must.True(t, m.Commit(ref(id, "j", token), 10*time.Second).Ok)
}

// leaseModel is the expected state of the worker, derived from the commands that the test has sent.
type leaseModel struct {
	tokens  map[string]int       // highest token that was sent, by job
	expires map[string]time.Time // latest expiry that an accepted command set, by lease
}

// Guards against two leases that hold the same accelerator, a part that runs twice at a time, commands with a stale token that take effect, and
// leases that outlive their time to live, under random sequences of commands, pauses and restarts.
func TestLeasesAreExclusiveFencedAndLapse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m, c := newMachine()
		model := leaseModel{map[string]int{}, map[string]time.Time{}}
		paused := false
		for step := range rapid.IntRange(20, 60).Draw(rt, "steps") {
			switch op := rapid.SampledFrom(operations).Draw(rt, "op"); op {
			case "pause":
				m.Pause()
				paused = true
			case "resume":
				m.Resume()
				paused = false
			case "restart":
				m.Restart(fmt.Sprint("i", step))
				model, paused = leaseModel{map[string]int{}, map[string]time.Time{}}, false
			case "advance":
				c.Advance(drawDuration(rt, "time", 100*time.Millisecond, time.Second, 4*time.Second))
			default:
				if !paused {
					sendCommand(rt, m, &model, c.Now(), op)
				}
			}
			checkReport(rt, m, model, c.Now())
			must.SliceEmpty(rt, DoubleRuns(m.History(), c.Now()))
		}
	})
}

// operations are drawn at random; an operation that is listed n times has the weight n.
var operations = strings.Fields(`pause resume resume resume restart advance advance advance reserve reserve reserve reserve
	reserve reserve commit commit commit commit commit commit renew renew checkpoint throttle stop`)

func drawDuration(rt *rapid.T, label string, from ...time.Duration) time.Duration {
	return rapid.SampledFrom(from).Draw(rt, label)
}

func sendCommand(rt *rapid.T, m *StateMachine, model *leaseModel, now time.Time, op string) {
	// Few jobs and parts and slowly growing tokens, so that commands often meet an existing lease.
	job := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(rt, "job")
	token := max(1, model.tokens[job]+rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, -1}).Draw(rt, "token"))
	part := rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(rt, "part")
	id := fmt.Sprintf("%s.%d.%d.%d", job, token, part, rapid.SampledFrom([]int{1, 2}).Draw(rt, "copy"))
	sent := token - rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, -1}).Draw(rt, "wrong token")
	ttl := drawDuration(rt, "ttl", 500*time.Millisecond, 5*time.Second, 10*time.Second)

	var result api.LeaseResult
	grants := false
	switch op {
	case "reserve":
		req := request(id, job, token)
		req.Part, req.Accelerators, req.TtlMS = part, rapid.SampledFrom([]int{0, 1, 2}).Draw(rt, "accelerators"), int(ttl.Milliseconds())
		req.RunMS = int(drawDuration(rt, "run", 0, 3*time.Second, 20*time.Second).Milliseconds())
		sent, grants = token, true
		result = m.Reserve(req)
	case "commit":
		grants, result = true, m.Commit(ref(id, job, sent), ttl)
	case "renew":
		grants, result = true, m.Renew(ref(id, job, sent), ttl)
	case "checkpoint":
		result = m.Checkpoint(ref(id, job, sent), 0)
	case "throttle":
		grants, result = true, m.Throttle(ref(id, job, sent), ttl)
	default:
		result = m.Stop(ref(id, job, sent))
		must.False(rt, result.Ok && (result.State == api.LeaseResultStateRunning || result.State == api.LeaseResultStateReserved))
	}
	must.False(rt, result.Ok && grants && sent != token, must.Sprint("command with the token of another placement"))
	if sent < model.tokens[job] {
		must.False(rt, result.Ok)
		must.Eq(rt, ReasonStaleToken, result.Reason)
		return
	}
	model.tokens[job] = sent
	if result.Ok && grants && now.Add(ttl).After(model.expires[id]) {
		model.expires[id] = now.Add(ttl)
	}
}

// checkReport compares the report of the worker with its capacity and with the model.
func checkReport(rt *rapid.T, m *StateMachine, model leaseModel, now time.Time) {
	report := m.Report()
	used, parts := 0, map[string]bool{}
	for _, task := range report.Tasks {
		running := task.State == api.TaskReportStateRunning
		if !running && task.State != api.TaskReportStateReserved {
			continue
		}
		used += task.Accelerators
		must.True(rt, model.expires[task.LeaseID].After(now), must.Sprint("lease outlives its time to live"))
		part := fmt.Sprint(task.JobID, task.Part)
		must.False(rt, running && parts[part], must.Sprint("part runs twice"))
		parts[part] = parts[part] || running
	}
	must.Eq(rt, testAccelerators-used, report.FreeAccelerators)
	must.GreaterEq(rt, 0, report.FreeAccelerators)
}

// Guards against a delayed reservation or commit that starts a placement after its stop was confirmed.
func TestStopOfAnUnknownLeaseBlocksDelayedCommands(t *testing.T) {
	m, _ := newMachine()
	must.True(t, m.Stop(ref("l", "j", 7)).Ok)
	must.Eq(t, ReasonUnknownLease, m.Reserve(request("l", "j", 7)).Reason)
	must.Eq(t, ReasonStaleToken, m.Reserve(request("older", "j", 6)).Reason)
	must.Eq(t, ReasonStaleToken, m.Commit(ref("older", "j", 6), time.Second).Reason)
	must.True(t, m.Reserve(request("newer", "j", 8)).Ok)
	must.SliceEmpty(t, m.History())
}

// Guards against an older placement that runs beside a newer one until its lease expires.
func TestCommitStopsOlderPlacements(t *testing.T) {
	m, c := newMachine()
	mustRun(t, m, "older", 1)
	mustRun(t, m, "newer", 2)
	c.Advance(time.Second)
	must.Eq(t, api.TaskReportStateStopped, m.Report().Tasks[0].State)
	must.Eq(t, api.TaskReportStateRunning, m.Report().Tasks[1].State)
	must.SliceEmpty(t, DoubleRuns(m.History(), c.Now()))
}

// Guards against the renewal of a lease that expired while the worker was paused.
func TestPausedWorkerLapsesItsLeases(t *testing.T) {
	m, c := newMachine()
	mustRun(t, m, "l", 1)
	m.Pause()
	c.Advance(11 * time.Second)
	m.Resume()
	r := m.Renew(ref("l", "j", 1), 10*time.Second)
	must.False(t, r.Ok)
	must.Eq(t, api.LeaseResultStateLapsed, r.State)
	must.Eq(t, time.Unix(1010, 0), m.History()[0].End)
}

// Guards against progress that is lost, counted during a pause, or not slowed down by a throttle.
func TestProgressFollowsPauseThrottleAndCheckpoint(t *testing.T) {
	m, c := newMachine()
	mustRun(t, m, "l", 1)
	c.Advance(4 * time.Second)
	m.Pause()
	c.Advance(3 * time.Second)
	m.Resume()
	must.Eq(t, 4000, m.Checkpoint(ref("l", "j", 1), 0).ProgressMS)
	must.True(t, m.Throttle(ref("l", "j", 1), time.Minute*10).Ok)
	c.Advance(4 * time.Second)
	r := m.Checkpoint(ref("l", "j", 1), 0)
	must.Eq(t, 6000, r.ProgressMS)
	must.Eq(t, "checkpoints/j/1/0/2", r.Checkpoint)
	c.Advance(108 * time.Second)
	must.Eq(t, api.TaskReportStateSucceeded, m.Report().Tasks[0].State)
	must.Eq(t, c.Now(), m.History()[0].End)
}

// Guards against injected faults that do not show in the results of commands.
func TestFaultsFailTasksAndRefuseReservations(t *testing.T) {
	m, c := newMachine()
	m.SetFaults(Faults{FailTasks: true, FailAfter: time.Second})
	mustRun(t, m, "l", 1)
	c.Advance(time.Second)
	r := m.Renew(ref("l", "j", 1), time.Second)
	must.Eq(t, ReasonFailed, r.Reason)
	must.Eq(t, api.LeaseResultStateFailed, r.State)
	m.SetFaults(Faults{Quarantined: true})
	must.Eq(t, ReasonQuarantined, m.Reserve(request("m", "k", 1)).Reason)
}

// Guards against DoubleRuns and PartialGangs missing violations or reporting ordinary runs.
func TestHistoryChecks(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	run := func(worker string, token, part, start, end int, state api.LeaseResultState) Run {
		return Run{WorkerID: worker, JobID: "j", LeaseID: "l", Token: token, Part: part, Accelerators: []int{part}, Start: at(start), End: at(end), State: state}
	}
	stopped, succeeded := api.LeaseResultStateStopped, api.LeaseResultStateSucceeded
	cases := map[string]struct {
		runs            []Run
		double, partial int
	}{
		"one after the other":            {[]Run{run("a", 1, 0, 0, 5, stopped), run("b", 2, 0, 5, 9, succeeded)}, 0, 2},
		"same part twice":                {[]Run{run("a", 1, 0, 0, 5, stopped), run("b", 2, 0, 4, 9, stopped)}, 1, 2},
		"long run overlaps a later one":  {[]Run{run("a", 1, 0, 0, 9, stopped), run("b", 2, 0, 1, 2, stopped), run("c", 3, 0, 3, 4, stopped)}, 2, 1},
		"whole gang":                     {[]Run{run("a", 1, 0, 0, 9, stopped), run("a", 1, 1, 1, 9, stopped)}, 0, 0},
		"part lost for too long":         {[]Run{run("a", 1, 0, 0, 9, stopped), run("a", 1, 1, 0, 5, stopped)}, 0, 1},
		"part lost for a short time":     {[]Run{run("a", 1, 0, 0, 9, stopped), run("a", 1, 1, 0, 8, stopped)}, 0, 0},
		"part succeeds before the other": {[]Run{run("a", 1, 0, 0, 9, succeeded), run("a", 1, 1, 0, 3, succeeded)}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			must.Len(t, c.double, DoubleRuns(c.runs, at(20)))
			must.Len(t, c.partial, PartialGangs(c.runs, map[string]int{"j": 2}, 2*time.Second, at(20)))
		})
	}
}
