package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/client"
	"samphirewell/internal/clock"
	"samphirewell/internal/config"
	"samphirewell/internal/jobs"
	"samphirewell/internal/timeline"
)

// Durations of the phases, limits on waiting and other constants of a run.
const (
	warmUpLimit   = 20 * time.Second // longest wait for the first answers
	healthyTime   = 5 * time.Second
	afterKillTime = 5 * time.Second
	partitionTime = 5 * time.Second
	drainTime     = 4 * time.Second
	claimLimit    = 10 * time.Second // longest wait for the start of the claiming job
	settleTime    = 3 * time.Second  // time for the borrowing jobs to start, and for calls after the last phase
	pollPeriod    = 20 * time.Millisecond
	submitLimit   = 10 * time.Second
	// timelineBefore is how long before the submission of a late claim the printed timeline begins.
	timelineBefore = 10 * time.Second
	percentScale   = 100
)

// Options select what Run does.
type Options struct {
	Deployment      string    // one of Names
	BalancerAddress string    // ip:port of the balancer; empty for any port on loopback
	Progress        io.Writer // receives progress lines
}

// Run runs the demo for a deployment and returns the report. An error means that the demo itself could not run; violated promises are in the
// report.
func Run(ctx context.Context, o Options) (*Report, error) {
	d, lists, err := lookUp(o.Deployment)
	if err != nil {
		return nil, err
	}
	s, err := startSystem(d, lists, o.BalancerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	defer s.close()
	r := &runner{system: s, deployment: d, progress: o.Progress, start: time.Now(), parts: map[string]int{}}
	return r.run(ctx)
}

// runner drives one run of the demo.
type runner struct {
	system       *system
	deployment   deployment
	progress     io.Writer
	start        time.Time
	client       *client.Client
	load         *load
	parts        map[string]int // job id -> parts, of the submitted jobs
	checks       []check
	stopFrom     time.Time // start of the graceful shutdown of an entry host
	stopTo       time.Time // its end
	stopErr      error     // its result
	listsVersion int       // of the lists that were put last
}

func (r *runner) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(r.progress, "%5.1fs  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *runner) run(ctx context.Context) (*Report, error) {
	var err error
	d := r.deployment
	r.printProgress("%s: %d entry hosts in %d failure domains, %d executors, %d workers", d.Name, len(r.system.hosts), len(r.system.lists.FailureDomains), d.Executors, d.Workers)
	watch := watchVersions(r.system)
	if r.client, err = client.New(clock.Real{}, r.system.balancer.URL()); err != nil {
		return nil, err
	}
	if err := r.putLists(ctx, 0, d.Lists); err != nil {
		return nil, err
	}
	if err := r.warmUp(ctx); err != nil {
		return nil, err
	}
	if r.load, err = startLoad(d, r.system.balancer.URL()); err != nil {
		return nil, err
	}
	from := time.Now()
	r.submit(ctx, d.Jobs)
	time.Sleep(healthyTime)
	for _, phase := range []func(context.Context) error{r.stopEntryHost, r.killEntryHost, r.partitionDomain, r.drainExecutor, r.changeLists, r.claimGuarantee} {
		if err := phase(ctx); err != nil {
			r.load.stop()
			return nil, err
		}
	}
	time.Sleep(settleTime)
	samples := r.load.stop()
	r.printProgress("checking %d calls and %d jobs", len(samples), len(r.parts))
	r.checks = append(r.checks, checkCalls(d.Service, samples, runsByKey(r.system.executors))...)
	r.checks = append(r.checks, checkWorkers(r.system.workers, r.parts, time.Now())...)
	r.checks = append(r.checks, checkStop(samples, r.stopFrom, r.stopTo, r.stopErr), watch.stop())
	return newReport(d, samples, time.Since(from), r.checks, r.system), nil
}

// warmUp waits until non-repeatable calls are answered. Key owners refuse them until their records cover the time in which an earlier attempt
// may have been sent.
func (r *runner) warmUp(ctx context.Context) error {
	t := r.deployment.Traffic[0]
	for start := time.Now(); time.Since(start) < warmUpLimit; {
		o := r.client.Call(ctx, client.Call{Service: r.deployment.Service, Method: t.Method, Team: t.Team, Class: t.Class, Timeout: t.Timeout})
		if len(o.Body) > 0 {
			r.printProgress("first answer")
			return nil
		}
		time.Sleep(pollPeriod)
	}
	return errors.Errorf("no call was answered within %v", warmUpLimit)
}

func (r *runner) putLists(ctx context.Context, readVersion int, text string) error {
	hosts := r.hostIDs()
	version, err := r.system.publishLists(ctx, readVersion, text)
	if err != nil {
		return err
	}
	took, ok := r.system.awaitVersion(version, 2*configBound, hosts...)
	r.listsVersion = version
	c := check{Promise: "an accepted configuration is in force on every reachable host within 3 s"}
	c.expect(ok && took <= configBound, "version %d: %v", version, took)
	r.addCheck(c)
	r.printProgress("lists version %d in force on %d hosts after %d ms", version, len(hosts), took.Milliseconds())
	return nil
}

// addCheck adds the cases of c to the check of the same promise, or adds c if there is none.
func (r *runner) addCheck(c check) {
	for i := range r.checks {
		if r.checks[i].Promise == c.Promise {
			r.checks[i].Cases += c.Cases
			r.checks[i].Violations += c.Violations
			r.checks[i].Examples = append(r.checks[i].Examples, c.Examples...)
			return
		}
	}
	r.checks = append(r.checks, c)
}

func (r *runner) hostIDs() []string {
	var ids []string
	for id := range r.system.snapshotHosts() {
		ids = append(ids, id)
	}
	return ids
}

func (r *runner) submit(ctx context.Context, specs []api.JobSpec) {
	accepted := 0
	for _, spec := range specs {
		ctx, cancel := context.WithTimeout(ctx, submitLimit)
		job, err := r.client.SubmitJob(ctx, spec)
		cancel()
		if err == nil {
			accepted++
			r.parts[job.ID] = spec.Parts
		}
	}
	r.printProgress("%d of %d jobs accepted", accepted, len(specs))
}

func (r *runner) stopEntryHost(ctx context.Context) error {
	id := r.system.firstHost(r.system.lists.FailureDomains[0])
	r.printProgress("stopping entry host %s gracefully", id)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	r.stopFrom = time.Now()
	r.stopErr = r.system.stopHost(ctx, id)
	r.stopTo = time.Now()
	r.printProgress("entry host %s stopped after %d ms", id, r.stopTo.Sub(r.stopFrom).Milliseconds())
	r.load.awaitInFlight() // the next phase kills a host, which may interrupt calls
	_, err := r.system.startHost(r.system.lists.FailureDomains[0])
	return err
}

func (r *runner) killEntryHost(context.Context) error {
	domain := r.system.lists.FailureDomains[1]
	id := r.system.firstHost(domain)
	r.printProgress("killing entry host %s", id)
	r.system.killHost(id)
	time.Sleep(afterKillTime)
	_, err := r.system.startHost(domain)
	return err
}

func (r *runner) partitionDomain(ctx context.Context) error {
	domain := r.system.lists.FailureDomains[2]
	r.printProgress("cutting %s off from the platform", domain)
	r.system.network.Cut(domain, platformDomain)
	// The partitioned domain has to receive the next version from the hosts of other domains.
	if err := r.putLists(ctx, r.listsVersion, r.deployment.Lists+"\n// accepted while "+domain+" is cut off from the platform\n"); err != nil {
		return err
	}
	time.Sleep(partitionTime)
	r.system.network.Heal(domain, platformDomain)
	r.printProgress("%s reaches the platform again", domain)
	return nil
}

func (r *runner) drainExecutor(context.Context) error {
	e := r.system.executors[0]
	r.printProgress("executor %s is leaving", e.Entry().ID)
	e.SetLeaving(true)
	r.system.platform.SetLeaving(e.Entry().ID, true)
	time.Sleep(drainTime)
	r.checks = append(r.checks, checkLeaving(e))
	return nil
}

func (r *runner) changeLists(ctx context.Context) error {
	text := strings.TrimRight(r.deployment.Lists, "\n") + "\n// third version\n"
	if _, err := config.ParseLists("lists", []byte(text)); err != nil {
		return err
	}
	return r.putLists(ctx, r.listsVersion, text)
}

// claimGuarantee fills the domain of a guaranteed shape with jobs of other teams and then submits the job that claims the shape.
func (r *runner) claimGuarantee(ctx context.Context) error {
	d := &r.deployment
	perDomain := d.Workers/len(r.system.lists.FailureDomains) + 1
	host := r.system.host(r.system.firstHost(d.ClaimDomain))
	direct, err := client.New(clock.Real{}, "http://"+host.CallerAddr())
	if err != nil {
		return err
	}
	balanced := r.client
	r.client = direct
	r.submit(ctx, d.borrowingJobs(r.system.lists, perDomain))
	time.Sleep(settleTime)
	submitted := time.Now()
	job, err := r.client.SubmitJob(ctx, d.Claim)
	if err != nil {
		return errors.Wrap(err, "submit the claim")
	}
	r.parts[job.ID] = d.Claim.Parts
	took, ok := r.awaitRunning(ctx, job, submitted)
	r.client = balanced
	c := check{Promise: "a guaranteed shape is reclaimed and started within 4.5 s"}
	c.expect(ok && took <= claimBound, "job %s started after %v", job.ID, took)
	if c.Violations > 0 {
		r.printTimeline(job.ID, submitted.Add(-timelineBefore))
		r.printExplanations(ctx, job.ID)
	}
	r.checks = append(r.checks, c)
	r.printProgress("guaranteed gang of %d parts started after %d ms", d.Claim.Parts, took.Milliseconds())
	return nil
}

// printTimeline prints the events about a job and about the hosts themselves that the hosts recorded since the given time.
func (r *runner) printTimeline(jobID string, since time.Time) {
	var pages []api.TimelinePage
	for _, h := range r.system.snapshotHosts() {
		pages = append(pages, h.Ring().Page(1, timeline.DefaultCapacity))
	}
	for _, e := range timeline.Merge(pages, nil, timeline.Filter{FromMs: int(since.UnixMilli())}).Events {
		if e.JobID == jobID || e.JobID == "" || e.Kind == api.EventKindGangRestarted {
			r.printProgress("%s", timeline.Line(e))
		}
	}
}

// printExplanations prints each host's recorded reasons why the job waited.
func (r *runner) printExplanations(ctx context.Context, jobID string) {
	for id, h := range r.system.snapshotHosts() {
		o, err := client.NewOperator(clock.Real{}, "http://"+h.OperatorAddr(), operatorToken)
		var e api.JobExplanation
		if err == nil {
			err = o.Get(ctx, "/v1/explain/job/"+jobID, &e)
		}
		if err != nil {
			r.printProgress("%s: no explanation of the job: %v", id, err)
			continue
		}
		for _, s := range e.History {
			r.printProgress("%s %s %s %s (%d times)", id, time.UnixMilli(int64(s.AtMS)).UTC().Format("15:04:05.000"), s.Phase, s.Reason, s.Times)
		}
	}
}

// awaitRunning waits until the job has started, for at most claimLimit, and returns the time since its submission. The result is false if
// the job was refused or did not start in time.
func (r *runner) awaitRunning(ctx context.Context, job api.JobRecord, submitted time.Time) (time.Duration, bool) {
	for time.Since(submitted) < claimLimit {
		now, err := r.client.GetJob(ctx, job.Spec.Team, job.ID)
		if err == nil && (now.Phase == api.JobRecordPhaseRunning || jobs.Ended(now.Phase)) {
			return time.Since(submitted), now.Phase != api.JobRecordPhaseRefused
		}
		time.Sleep(pollPeriod)
	}
	return time.Since(submitted), false
}
