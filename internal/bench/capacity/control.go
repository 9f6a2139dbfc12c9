package capacity

import (
	"context"
	"time"
)

// window holds the traffic and processor time of a deployment during one measurement.
type window struct {
	seconds          float64
	hosts            float64
	messages         map[string]float64 // sent to peers, by method
	bytes            map[string]float64
	busiestBytes     float64 // sent by the busiest host
	platformSent     float64 // bytes from all hosts to the platform
	platformReceived float64
	reads            float64 // read requests that the platform served
	writes           float64
	processor        float64 // seconds of processor time above that of the idle process
}

// perHost returns v per second and host.
func (w window) perHost(v float64) float64 { return v / w.seconds / w.hosts }

func sum(byMethod map[string]float64) float64 {
	total := 0.0
	for _, v := range byMethod {
		total += v
	}
	return total
}

// measureWindow measures the deployment for the given time.
func (d *deployment) measureWindow(ctx context.Context, length time.Duration) (window, error) {
	before, err := d.counters(ctx)
	if err != nil {
		return window{}, err
	}
	stats, sent, received := d.platform.Stats(), d.meters.platform.sent.Load(), d.meters.platform.received.Load()
	began, processor := time.Now(), processorTime()
	pause(ctx, length)
	w := window{seconds: time.Since(began).Seconds(), hosts: float64(len(d.hosts)), messages: map[string]float64{}, bytes: map[string]float64{}}
	w.processor = (processorTime() - processor).Seconds() - d.idleProcessor*w.seconds
	after := d.platform.Stats()
	w.reads, w.writes = float64(after.Reads-stats.Reads), float64(after.Writes-stats.Writes)
	w.platformSent = float64(d.meters.platform.sent.Load() - sent)
	w.platformReceived = float64(d.meters.platform.received.Load() - received)
	counters, err := d.counters(ctx)
	for i := range counters {
		bytes := sum(counters[i].Bytes) - sum(before[i].Bytes)
		w.busiestBytes = max(w.busiestBytes, bytes)
		for method, n := range counters[i].Messages {
			w.messages[method] += n - before[i].Messages[method]
			w.bytes[method] += counters[i].Bytes[method] - before[i].Bytes[method]
		}
	}
	return w, err
}

// recordWindow adds the values of a window to the series of a group at x.
func (r *Report) recordWindow(group, size string, x float64, w window) {
	add := func(name, unit string, v float64) { r.series(group, name, unit, size).add(x, v) }
	add("peer messages", "1/s per host", w.perHost(sum(w.messages)))
	add("peer bytes", "B/s per host", w.perHost(sum(w.bytes)))
	add("peer bytes, busiest host", "B/s", w.busiestBytes/w.seconds)
	for _, method := range []string{"ping", "response", "other"} {
		if w.messages[method] > 0 {
			add("peer bytes, "+method, "B/s per host", w.perHost(w.bytes[method]))
			add("peer messages, "+method, "1/s per host", w.perHost(w.messages[method]))
		}
	}
	add("platform bytes sent", "B/s per host", w.perHost(w.platformSent))
	add("platform bytes received", "B/s per host", w.perHost(w.platformReceived))
	add("platform reads", "1/s", w.reads/w.seconds)
	add("platform writes", "1/s", w.writes/w.seconds)
	add("processor", "% of a core per host", 100*w.perHost(w.processor))
}

// measureDeployment starts a deployment, records its windows, changes the lists and records how long the changes take.
func (r *Report) measureDeployment(ctx context.Context, o Options, group, size string, x float64, l layout) error {
	d, err := deploy(ctx, l)
	if err != nil {
		return err
	}
	defer d.close()
	r.series(group, "heap", "B per host", size).add(x, float64(d.heap))
	if group == groupHosts && l.Hosts == 2 {
		r.series(groupDomains, "heap", "B per host", sizeDomains).add(1, float64(d.heap))
	}
	pause(ctx, o.FreshSettle)
	for range o.Repeats {
		w, err := d.measureWindow(ctx, o.Window)
		if err != nil {
			return err
		}
		r.recordWindow(group, size, x, w)
		if group == groupHosts && l.Hosts == 2 {
			r.recordWindow(groupDomains, sizeDomains, 1, w) // one domain of two hosts is a point of both series
		}
	}
	for range o.Changes {
		took, err := d.changeLists(ctx)
		if err != nil {
			return err
		}
		r.series(group, "configuration in force on all hosts", "s", size).add(x, took.Seconds())
		r.series(groupConfig, "configuration in force on all hosts", "s", "entry hosts in all").add(float64(len(d.hosts)), took.Seconds())
	}
	return nil
}

// Groups of series.
const (
	groupHosts       = "hosts"   // entry hosts of one failure domain
	groupDomains     = "domains" // failure domains of two hosts each
	groupTeams       = "teams"
	groupListed      = "listed" // workers in the host list
	groupClaims      = "claims"
	groupMemory      = "memory"
	groupCycle       = "cycle"    // scheduling cycle of all failure domains together
	groupDomainCycle = "cycleOne" // scheduling cycle of one failure domain
	groupWorkers     = "workers"  // applier, no gangs, by number of workers
	groupGangs       = "gangs"    // applier, all workers, by number of gangs
	groupJobs        = "jobs"
	groupRate        = "jobRate"
	groupConfig      = "config"
)

// sizeDomains describes the x axis of the series of groupDomains.
const sizeDomains = "failure domains of 2 hosts"

// baseTeams is the number of teams, that of today, in deployments that vary another size.
const baseTeams = 4

func measureHosts(ctx context.Context, o Options, r *Report) error {
	for _, n := range o.Hosts {
		if err := r.measureDeployment(ctx, o, groupHosts, "entry hosts of the domain", float64(n), layout{Domains: 1, Hosts: n, Teams: baseTeams}); err != nil {
			return err
		}
	}
	return nil
}

func measureDomains(ctx context.Context, o Options, r *Report) error {
	for _, n := range o.Domains {
		if err := r.measureDeployment(ctx, o, groupDomains, sizeDomains, float64(n), layout{Domains: n, Hosts: 2, Teams: baseTeams}); err != nil {
			return err
		}
	}
	return nil
}

// measureHostList measures one deployment while its host list grows.
func measureHostList(ctx context.Context, o Options, r *Report) error {
	if len(o.Listed) == 0 {
		return nil
	}
	const size = "workers in the host list"
	d, err := deploy(ctx, layout{Domains: 1, Hosts: 2, Teams: baseTeams})
	if err != nil {
		return err
	}
	defer d.close()
	listed := 0
	for _, n := range o.Listed {
		for ; listed < n; listed++ {
			d.platform.AddHost(listedWorker(listed))
		}
		pause(ctx, max(o.Settle, 2*time.Second)) // at least two polls of the list
		r.series(groupListed, "heap", "B per host", size).add(float64(n), float64(d.heapPerHost()))
		for range o.Repeats {
			w, err := d.measureWindow(ctx, o.Window)
			if err != nil {
				return err
			}
			r.recordWindow(groupListed, size, float64(n), w)
		}
	}
	return nil
}
