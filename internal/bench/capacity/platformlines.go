package capacity

// addPlatformChecks estimates the platform requests of all hosts. The requests of the appliers, one for each domain, are part of the
// slope of the domains.
func (r *Report) addPlatformChecks() {
	for _, kind := range []struct {
		name  string
		limit float64
	}{{"reads", limitReads}, {"writes", limitWrites}} {
		hosts, domains := r.get(groupHosts, "platform "+kind.name).Line, r.get(groupDomains, "platform "+kind.name).Line
		// Each domain of two hosts adds the slope of the domains, each further host of a domain the slope of the hosts.
		all := func(h, d int) float64 { return float64(d) * (domains.Slope + hosts.Slope*float64(h-2)) }
		jobs := max(0, r.get(groupJobs, "table "+kind.name+" above the idle rate").Line.Slope)
		for _, p := range r.get(groupRate, "table "+kind.name).Points {
			// Jobs that arrive one at a time don't share a write, so the largest value of all rates counts.
			jobs = max(jobs, (p.Mean()-r.get(groupWorkers, "table "+kind.name).Line.Intercept)/p.X)
		}
		perSecond := jobs * targetJobsPerDay / secondsPerDay
		r.addCheck("platform "+kind.name+", all hosts, no jobs", "1/s", all(todayHosts, todayDomains), all(targetHosts, targetDomains), kind.limit)
		r.addCheck("platform "+kind.name+" for jobs at 2,600 a day", "1/s", perSecond, perSecond, kind.limit)
		r.addCheck("platform "+kind.name+" for a job, most of all rates", "requests", jobs, jobs, 0)
	}
}

func (r *Report) addTimeChecks() {
	config := r.get(groupConfig, "configuration in force on all hosts")
	longest, mean := 0.0, 0.0
	for _, p := range config.Points {
		mean = max(mean, p.Mean())
		_, high := p.MinMax()
		longest = max(longest, high)
	}
	r.addCheck("configuration in force on all hosts, largest mean of a size", "s", config.at(todayEntryHosts), max(mean, config.Line.At(targetEntryHosts)), limitConfigDelay)
	r.addCheck("configuration in force on all hosts, longest seen", "s", longest, longest, limitConfigDelay)
	urgent := 0.0
	for _, p := range r.get(groupGangs, "urgent gang started").Points {
		_, high := p.MinMax()
		urgent = max(urgent, high)
	}
	r.addCheck("urgent gang of 1 or 64 parts started, 3,000 tasks running, longest seen", "s", urgent, urgent, limitUrgentStart)
	for _, name := range []string{"cycle, median", "cycle, processor time"} {
		all, one := r.get(groupCycle, name), r.get(groupDomainCycle, name)
		r.addCheck(name+", 880 workers and 21,000 tasks in one snapshot", "ms", all.at(todayWorkers), all.at(targetWorkers), limitCycle)
		r.addCheck(name+", one of 7 domains: 126 workers and 3,000 tasks", "ms", all.at(todayWorkers), one.at(3000), limitCycle)
	}
}

// addFullGraphChecks compares the peer bytes of hosts that ping only the hosts of their domain with those of a full graph of all entry
// hosts. A host of the full graph pings every other host and responds to their pings; the messages also name the hosts in reach.
func (r *Report) addFullGraphChecks() {
	hosts := r.get(groupHosts, "peer bytes")
	today, target := r.estimate("peer bytes", todayHosts, todayDomains), r.estimate("peer bytes", targetHosts, targetDomains)
	a, b := quadratic(hosts.Points)
	full := func(n int) float64 { return a*float64(n-1) + b*float64(n-1)*float64(n-1) }
	if b >= 0 { // a negative growth is noise; extrapolated, it would make a large graph free of cost
		r.addCheck("full graph of all entry hosts: peer bytes sent by a host", "B/s", full(todayEntryHosts), full(targetEntryHosts), limitBytes)
		r.addCheck("full graph over partition", "times", full(todayEntryHosts)/max(1, today), full(targetEntryHosts)/max(1, target), 0)
	}
	r.addCheck("full graph, without the growth of messages", "B/s", a*(todayEntryHosts-1), a*(targetEntryHosts-1), limitBytes)
	r.addCheck("measured: 10 hosts in one full graph over 5 domains of 2 hosts", "times", notMeasured, hosts.at(10)/max(1, r.get(groupDomains, "peer bytes").at(5)), 0)
}

// quadratic returns the coefficients of the least squares fit of a(n-1) + b(n-1)² to the points. A host sends messages to the n-1 other
// hosts, and b stands for messages that get longer with the number of hosts.
func quadratic(points []Point) (a, b float64) {
	var s2, s3, s4, t1, t2 float64
	for _, p := range points {
		for _, v := range p.Values {
			x := p.X - 1
			s2, s3, s4 = s2+x*x, s3+x*x*x, s4+x*x*x*x
			t1, t2 = t1+x*v, t2+x*x*v
		}
	}
	det := s2*s4 - s3*s3
	if det == 0 {
		return t1 / max(s2, 1), 0
	}
	return (t1*s4 - t2*s3) / det, (t2*s2 - t1*s3) / det
}
