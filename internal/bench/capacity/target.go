package capacity

import "fmt"

// Sizes of today and of the target in two years, from the requirements.
const (
	targetTeams         = 37
	targetWorkers       = 880
	targetDomains       = 7
	targetHosts         = 7 // maximum number of entry hosts of a failure domain
	targetEntryHosts    = targetDomains * targetHosts
	targetJobsPerDay    = 2600
	targetTasks         = 21_000
	targetDomainWorkers = 126
	targetDomainGangs   = 125 // gangs of 24 parts each: 3,000 tasks
	secondsPerDay       = 86_400

	todayTeams         = 4
	todayWorkers       = 50
	todayDomains       = 3
	todayHosts         = 2 // entry hosts of a failure domain; 6 to 7 in all domains
	todayEntryHosts    = todayDomains * todayHosts
	todayDomainGangs   = 6 // gangs of 24 parts each: one task for each of the 400 accelerators of the 3 domains
	todayDomainWorkers = 17
)

// Upper limits from the requirements.
const (
	limitProcessor   = 2.3   // % of a core for each node
	limitMemory      = 256e6 // B for each node
	limitBytes       = 6000  // B/s for each node
	limitReads       = 2000  // 1/s, of the platform
	limitWrites      = 300   // 1/s, of the platform: the requirements allow several hundred, this is the low end
	limitConfigDelay = 3     // s
	limitUrgentStart = 4.5   // s
	limitCycle       = 50    // ms
)

// notMeasured is the value of Check.Today if nothing was measured at the size of today.
const notMeasured = -1

// Check compares a quantity at the target size with its limit.
type Check struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Today  float64 `json:"today"` // at the size of today, or notMeasured
	Target float64 `json:"target"`
	Limit  float64 `json:"limit"` // 0 if there is none
}

// WithinLimit reports whether the quantity is at most its limit.
func (c Check) WithinLimit() bool { return c.Limit == 0 || c.Target <= c.Limit }

func (c Check) todayText() string {
	if c.Today == notMeasured {
		return "not measured"
	}
	return number(c.Today)
}

func (c Check) limitText() string {
	if c.Limit == 0 {
		return c.Unit
	}
	return number(c.Limit) + " " + c.Unit
}

func (c Check) verdict() string {
	switch {
	case c.Limit == 0:
		return ""
	case c.WithinLimit():
		if c.Target*1000 <= c.Limit {
			return "holds, over 1,000 times below"
		}
		return fmt.Sprintf("holds, %.1f times below", c.Limit/c.Target)
	}
	return fmt.Sprintf("**does not hold, %.1f times above**", c.Target/c.Limit)
}

// addChecks estimates the quantities at the target sizes and adds them as checks.
func (r *Report) addChecks() {
	r.addTrafficChecks()
	r.addProcessorChecks()
	r.addMemoryChecks()
	r.addPlatformChecks()
	r.addTimeChecks()
	r.addFullGraphChecks()
}

func (r *Report) addCheck(name, unit string, today, target, limit float64) {
	r.Checks = append(r.Checks, Check{Name: name, Unit: unit, Today: today, Target: target, Limit: limit})
}

// estimate returns the value of a quantity: that of one domain with the given number of hosts, plus the slope for each further domain.
func (r *Report) estimate(name string, hosts, domains int) float64 {
	return r.get(groupHosts, name).at(float64(hosts)) + r.get(groupDomains, name).Line.Slope*float64(domains-1)
}

// teamPeerBytes returns the peer bytes a second that a host sends for the plan limits of this number of teams.
func (r *Report) teamPeerBytes(teams int) float64 {
	return max(0, r.get(groupTeams, "peer bytes, other").Line.At(float64(teams)))
}

func (r *Report) addTrafficChecks() {
	today, target := r.estimate("peer bytes", todayHosts, todayDomains), r.estimate("peer bytes", targetHosts, targetDomains)
	r.addCheck("peer messages sent by a host", "1/s", r.estimate("peer messages", todayHosts, todayDomains), r.estimate("peer messages", targetHosts, targetDomains), 0)
	r.addCheck("peer bytes sent by a host, no calls", "B/s", today, target, limitBytes)
	r.addCheck("peer bytes sent by a host, half of the teams active", "B/s", today+r.teamPeerBytes(todayTeams), target+r.teamPeerBytes(targetTeams), limitBytes)
	sent := r.get(groupListed, "platform bytes sent")
	r.addCheck("bytes from a host to the platform", "B/s", sent.at(todayWorkers), sent.at(targetWorkers), limitBytes)
	list, teams := r.get(groupListed, "platform bytes received"), r.get(groupTeams, "platform bytes received")
	r.addCheck("bytes from the platform to a host: host list", "B/s", list.Line.Slope*(todayWorkers+todayEntryHosts), list.Line.Slope*(targetWorkers+targetEntryHosts), limitBytes)
	r.addCheck("bytes from the platform to a host: lists of the teams", "B/s", teams.Line.Slope*todayTeams, teams.Line.Slope*targetTeams, limitBytes)
	for _, name := range []string{"worker bytes sent", "worker bytes received", "table bytes sent", "table bytes received"} {
		g, w := r.get(groupGangs, name), r.get(groupWorkers, name)
		r.addCheck("preferred host: "+name, "B/s", w.Line.At(todayDomainWorkers)+g.Line.Slope*todayDomainGangs, g.at(targetDomainGangs), limitBytes)
	}
	commands := r.get(groupGangs, "commands to workers")
	r.addCheck("preferred host: commands to workers", "1/s", r.get(groupWorkers, "commands to workers").Line.At(todayDomainWorkers), commands.at(targetDomainGangs), 0)
	r.addCheck("commands to each worker", "1/s", commands.Line.At(todayDomainGangs)/targetDomainWorkers, commands.at(targetDomainGangs)/targetDomainWorkers, 0)
	worker := r.get(groupWorkers, "worker bytes sent").Line.Slope + r.get(groupWorkers, "worker bytes received").Line.Slope
	tasks := r.get(groupGangs, "worker bytes sent").Line.Slope + r.get(groupGangs, "worker bytes received").Line.Slope
	r.addCheck("bytes of a worker, both directions", "B/s", worker+tasks*todayDomainGangs/todayDomainWorkers, (r.get(groupGangs, "worker bytes sent").at(targetDomainGangs)+r.get(groupGangs, "worker bytes received").at(targetDomainGangs))/targetDomainWorkers, limitBytes)
}

func (r *Report) addProcessorChecks() {
	host := func(hosts, domains, workers int) float64 {
		return r.estimate("processor", hosts, domains) + max(0, r.get(groupListed, "processor").Line.Slope)*float64(workers)
	}
	r.addCheck("processor of a host, no calls, host list included", "% of a core", host(todayHosts, todayDomains, todayWorkers), host(targetHosts, targetDomains, targetWorkers), limitProcessor)
	const name = "processor, worker and table stand-ins included"
	g, w := r.get(groupGangs, name), r.get(groupWorkers, name)
	r.addCheck("preferred host: applier and scheduler, stand-ins included", "% of a core", w.Line.At(todayDomainWorkers)+g.Line.Slope*todayDomainGangs, g.at(targetDomainGangs), limitProcessor)
	r.addCheck("preferred host: applier and scheduler, commands without connections", "% of a core", notMeasured, r.get(groupGangs, "processor, commands without connections").at(targetDomainGangs), limitProcessor)
}

func (r *Report) addMemoryChecks() {
	teams, records, controller := r.get(groupTeams, "heap"), r.get(groupMemory, "claim records"), r.get(groupGangs, "heap of the controller")
	heap := func(teamCount, workers, hosts, domains int) float64 {
		return r.estimate("heap", hosts, domains) + max(0, r.get(groupListed, "heap").Line.Slope)*float64(workers) + max(0, teams.Line.Slope)*float64(teamCount-baseTeams)
	}
	today, target := heap(todayTeams, todayWorkers, todayHosts, todayDomains), heap(targetTeams, targetWorkers, targetHosts, targetDomains)
	r.addCheck("heap of a host without records", "B", today, target, limitMemory)
	r.addCheck("heap of claim records at their bound of 200,000, no stored answers", "B", records.at(200_000), records.at(200_000), limitMemory)
	r.addCheck("heap of stored answers at their bound", "B", maxStoredAnswerBytes, maxStoredAnswerBytes, limitMemory)
	r.addCheck("heap of the controller of the preferred host", "B", max(0, r.get(groupWorkers, "heap of the controller").Line.At(todayDomainWorkers)), controller.at(targetDomainGangs), limitMemory)
	all := target + records.at(200_000) + maxStoredAnswerBytes + controller.at(targetDomainGangs)
	r.addCheck("heap of the preferred host, all bounds reached at once", "B", notMeasured, all, limitMemory)
	r.addCheck("event in memory", "B", r.get(groupMemory, "events in memory").Line.Slope, r.get(groupMemory, "events in memory").Line.Slope, 0)
	r.addCheck("event in the object store", "B", r.get(groupMemory, "events in the object store").Line.Slope, r.get(groupMemory, "events in the object store").Line.Slope, 0)
}

// maxStoredAnswerBytes is the limit of the responses that a key owner stores, in bytes; the same as callkey.MaxStoredBytes.
const maxStoredAnswerBytes = 64 << 20
