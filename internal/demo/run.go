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

// Lengths of the phases.
const (
	warmUpLimit = 20 * time.Second // longest wait for the first answers
	healthyTime = 5 * time.Second
	afterKill   = 5 * time.Second
	cutTime     = 5 * time.Second
	drainTime   = 4 * time.Second
	claimLimit  = 10 * time.Second
	settleTime  = 3 * time.Second
	pollPeriod  = 20 * time.Millisecond
	submitLimit = 10 * time.Second
	// timelineBefore is how far before the submission the printed time line of a late claim begins.
	timelineBefore = 10 * time.Second
	percentScale   = 100
)

// Options select what Run does.
type Options struct {
	Deployment      string    // one of Names
	BalancerAddress string    // ip:port of the balancer; empty for any port on loopback
	Progress        io.Writer // receives progress lines
}

// Run runs the main job for a deployment and returns the report. The error means that the demo itself could not run; violated promises
// are in the report.
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
	system     *system
	deployment deployment
	progress   io.Writer
	start      time.Time
	client     *client.Client
	load       *load
	parts      map[string]int // job id -> parts, of the submitted jobs
	checks     []check
	stopFrom   time.Time
	stopTo     time.Time
	stopErr    error
	version    int
}

func (r *runner) say(format string, args ...any) {
	_, _ = fmt.Fprintf(r.progress, "%5.1fs  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *runner) run(ctx context.Context) (*Report, error) {
	var err error
	d := r.deployment
	r.say("%s: %d entry hosts in %d failure domains, %d executors, %d workers", d.Name, len(r.system.hosts), len(r.system.lists.FailureDomains), d.Executors, d.Workers)
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
	for _, phase := range []func(context.Context) error{r.stopOne, r.killOne, r.cutDomain, r.drainExecutor, r.changeLists, r.claim} {
		if err := phase(ctx); err != nil {
			r.load.stop()
			return nil, err
		}
	}
	time.Sleep(settleTime)
	samples := r.load.stop()
	r.say("checking %d calls and %d jobs", len(samples), len(r.parts))
	r.checks = append(r.checks, checkCalls(d.Service, samples, runsByKey(r.system.executors))...)
	r.checks = append(r.checks, checkWorkers(r.system.workers, r.parts, time.Now())...)
	r.checks = append(r.checks, checkStop(samples, r.stopFrom, r.stopTo, r.stopErr), watch.stop())
	return newReport(d, samples, time.Since(from), r.checks, r.system), nil
}

// warmUp waits until non-repeatable calls are answered: key owners refuse them until their knowledge reaches back far enough.
func (r *runner) warmUp(ctx context.Context) error {
	t := r.deployment.Traffic[0]
	for start := time.Now(); time.Since(start) < warmUpLimit; {
		o := r.client.Call(ctx, client.Call{Service: r.deployment.Service, Method: t.Method, Team: t.Team, Class: t.Class, Timeout: t.Timeout})
		if len(o.Body) > 0 {
			r.say("first answer")
			return nil
		}
		time.Sleep(pollPeriod)
	}
	return errors.Errorf("no call was answered within %v", warmUpLimit)
}

func (r *runner) putLists(ctx context.Context, read int, text string) error {
	hosts := r.hostIDs()
	version, err := r.system.put(ctx, read, text)
	if err != nil {
		return err
	}
	took, ok := r.system.inForce(version, 2*configBound, hosts...)
	r.version = version
	c := check{Promise: "an accepted configuration is in force on every reachable host within 3 s"}
	c.expect(ok && took <= configBound, "version %d: %v", version, took)
	r.addCheck(c)
	r.say("lists version %d in force on %d hosts after %d ms", version, len(hosts), took.Milliseconds())
	return nil
}

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
	r.say("%d of %d jobs accepted", accepted, len(specs))
}

func (r *runner) stopOne(ctx context.Context) error {
	id := r.system.oneHost(r.system.lists.FailureDomains[0])
	r.say("stopping entry host %s gracefully", id)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	r.stopFrom = time.Now()
	r.stopErr = r.system.stopHost(ctx, id)
	r.stopTo = time.Now()
	r.say("entry host %s stopped after %d ms", id, r.stopTo.Sub(r.stopFrom).Milliseconds())
	r.load.awaitBegun() // the next phase kills a host, which may cut calls
	_, err := r.system.startHost(r.system.lists.FailureDomains[0])
	return err
}

func (r *runner) killOne(context.Context) error {
	domain := r.system.lists.FailureDomains[1]
	id := r.system.oneHost(domain)
	r.say("killing entry host %s", id)
	r.system.killHost(id)
	time.Sleep(afterKill)
	_, err := r.system.startHost(domain)
	return err
}

func (r *runner) cutDomain(ctx context.Context) error {
	domain := r.system.lists.FailureDomains[2]
	r.say("cutting %s off from the platform", domain)
	r.system.network.Cut(domain, platformDomain)
	// The cut domain has to learn the next version from the hosts of other domains.
	if err := r.putLists(ctx, r.version, r.deployment.Lists+"\n// accepted while "+domain+" is cut off from the platform\n"); err != nil {
		return err
	}
	time.Sleep(cutTime)
	r.system.network.Heal(domain, platformDomain)
	r.say("%s reaches the platform again", domain)
	return nil
}

func (r *runner) drainExecutor(context.Context) error {
	e := r.system.executors[0]
	r.say("executor %s is leaving", e.Entry().ID)
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
	return r.putLists(ctx, r.version, text)
}

// claim lets other teams fill the domain of a guaranteed shape, and then claims it.
func (r *runner) claim(ctx context.Context) error {
	d := &r.deployment
	perDomain := d.Workers/len(r.system.lists.FailureDomains) + 1
	host := r.system.host(r.system.oneHost(d.ClaimDomain))
	direct, err := client.New(clock.Real{}, "http://"+host.CallerAddr())
	if err != nil {
		return err
	}
	balanced := r.client
	r.client = direct
	r.submit(ctx, d.fillers(r.system.lists, perDomain))
	time.Sleep(settleTime)
	submitted := time.Now()
	job, err := r.client.SubmitJob(ctx, d.Claim)
	if err != nil {
		return errors.Wrap(err, "submit the claim")
	}
	r.parts[job.ID] = d.Claim.Parts
	took, ok := r.running(ctx, job, submitted)
	r.client = balanced
	c := check{Promise: "a guaranteed shape is reclaimed and started within 4.5 s"}
	c.expect(ok && took <= claimBound, "job %s started after %v", job.ID, took)
	if c.Violations > 0 {
		r.sayTimeline(job.ID, submitted.Add(-timelineBefore))
		r.sayExplanations(ctx, job.ID)
	}
	r.checks = append(r.checks, c)
	r.say("guaranteed gang of %d parts started after %d ms", d.Claim.Parts, took.Milliseconds())
	return nil
}

// sayTimeline prints what the hosts recorded about a job and about themselves since a moment.
func (r *runner) sayTimeline(jobID string, since time.Time) {
	var pages []api.TimelinePage
	for _, h := range r.system.snapshotHosts() {
		pages = append(pages, h.Ring().Page(1, timeline.DefaultCapacity))
	}
	for _, e := range timeline.Merge(pages, nil, timeline.Filter{FromMs: int(since.UnixMilli())}).Events {
		if e.JobID == jobID || e.JobID == "" || e.Kind == api.EventKindGangRestarted {
			r.say("%s", timeline.Line(e))
		}
	}
}

// sayExplanations prints what each host knows of why the job waited.
func (r *runner) sayExplanations(ctx context.Context, jobID string) {
	for id, h := range r.system.snapshotHosts() {
		o, err := client.NewOperator(clock.Real{}, "http://"+h.OperatorAddr(), operatorToken)
		var e api.JobExplanation
		if err == nil {
			err = o.Get(ctx, "/v1/explain/job/"+jobID, &e)
		}
		if err != nil {
			r.say("%s doesn't explain: %v", id, err)
			continue
		}
		for _, s := range e.History {
			r.say("%s %s %s %s (%d times)", id, time.UnixMilli(int64(s.AtMS)).UTC().Format("15:04:05.000"), s.Phase, s.Reason, s.Times)
		}
	}
}

// running waits until the job has started and returns the time since its submission.
func (r *runner) running(ctx context.Context, job api.JobRecord, submitted time.Time) (time.Duration, bool) {
	for time.Since(submitted) < claimLimit {
		now, err := r.client.GetJob(ctx, job.Spec.Team, job.ID)
		if err == nil && (now.Phase == api.JobRecordPhaseRunning || jobs.Ended(now.Phase)) {
			return time.Since(submitted), now.Phase != api.JobRecordPhaseRefused
		}
		time.Sleep(pollPeriod)
	}
	return time.Since(submitted), false
}
