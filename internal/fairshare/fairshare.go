// Package fairshare tracks which teams get less or more than their fair part of the capacity that a priority holds while requests of the priority wait. It
// is pure: it reads no clock and does no I/O.
//
// The part of a team is the max-min fair division, by weights, of what the teams of the priority hold now, measured by dominant resource (Ghodsi et al., NSDI
// 2011). What a team doesn't request goes to the others.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// TimeConstant is the time in which a deficit decays to 1/e. Jobs last 2 to 11 s and bursts of load 4 to 17 s: a shorter time would follow the starts and
	// ends of single jobs, a longer one would still punish a team for a burst that is over.
	TimeConstant = 5 * time.Second
	// enterLevel is the deficit, relative to the part, from which a team is under its part, or with the opposite sign over it. With 0.3 the middle class
	// earned less than its floor in 3 of 30 seeds of orchards-peak, because teams of few large jobs changed their standing with each of them.
	enterLevel = 0.45
	// leaveLevel is the deficit below which it no longer is. The difference prevents that the order changes with each start.
	leaveLevel = 0.25
	// maxGap is the longest time between two updates in which the present loads count. Nothing waits while there are no updates.
	maxGap = time.Second
	// Tolerance is the share of its part that a team has to lack for Delay to hold.
	Tolerance = 0.6
)

// Delay is the longest time after which a team that waits and lacks at least Tolerance of its part is Under it, whatever it used before: the level rises from
// -1 towards Tolerance or more.
var Delay = time.Duration(float64(TimeConstant) * math.Log((Tolerance+1)/(Tolerance-enterLevel)))

// Standing is how what a team got in the last seconds and holds now compares with its part.
type Standing int8

// The standings.
const (
	Under Standing = iota - 1
	Even
	Over
)

// String returns the name for logs and metrics.
func (s Standing) String() string { return [...]string{"under", "even", "over"}[s+1] }

// Load is what a team holds and requests at a priority, as shares of the capacity of its dominant resource.
type Load struct {
	Team   string
	Weight float64 // relative to the other teams; must be positive
	Usage  float64 // held by its runs
	Demand float64 // that its waiting requests need in addition
}

// Team is the state of a team at a priority.
type Team struct {
	Team     string
	Usage    float64 // share of the capacity that it holds
	Part     float64 // its fair part of the capacity; what it holds while nothing waits
	Level    float64 // mean of the lacking share of its part over the last seconds, -1 to 1; negative if it got more than its part
	Standing Standing
}

// Tracker tracks the teams of one priority. The zero value is ready for use.
type Tracker struct {
	teams     map[string]*Team
	updatedAt time.Duration
}

// Update records the loads at a time; while requests wait it has to be called at least once a second. Each team is listed at most once; the levels of teams that aren't listed decay.
func (t *Tracker) Update(loads []Load, now time.Duration) {
	if t.teams == nil {
		t.teams, t.updatedAt = map[string]*Team{}, now
	}
	gap := max(0, now-t.updatedAt)
	t.updatedAt = now
	unloaded, share := math.Exp(-max(0, gap-maxGap).Seconds()/TimeConstant.Seconds()), 1-math.Exp(-min(gap, maxGap).Seconds()/TimeConstant.Seconds())
	for name, team := range t.teams {
		if !slices.ContainsFunc(loads, func(l Load) bool { return l.Team == name }) {
			team.Usage, team.Part = 0, 0
			team.update(0, unloaded, share)
			if math.Abs(team.Level) < 0.01 {
				delete(t.teams, name)
			}
		}
	}
	parts := Parts(loads)
	for i, l := range loads {
		team := t.teams[l.Team]
		if team == nil {
			team = &Team{Team: l.Team}
			t.teams[l.Team] = team
		}
		team.Usage, team.Part = l.Usage, parts[i]
		lack := 0.0
		if parts[i] != l.Usage {
			lack = -1
			if parts[i] > 0 {
				lack = max(-1, (parts[i]-l.Usage)/parts[i])
			}
		}
		team.update(lack, unloaded, share)
	}
}

// update multiplies the level by its decay in the time without load, moves it by a share of the way towards the present lack, and sets the standing. A team that has its part now is Even at once.
func (t *Team) update(lack, unloaded, share float64) {
	t.Level *= unloaded
	t.Level += share * (lack - t.Level)
	switch {
	case t.Level >= enterLevel:
		t.Standing = Under
	case t.Level <= -enterLevel:
		t.Standing = Over
	case t.Standing == Under && t.Level < leaveLevel, t.Standing == Over && t.Level > -leaveLevel:
		t.Standing = Even
	}
	if t.Standing == Under && lack <= 0 || t.Standing == Over && lack >= 0 {
		t.Standing = Even
	}
}

// Standing returns the standing of a team, Even if it isn't known.
func (t *Tracker) Standing(team string) Standing {
	if s, ok := t.teams[team]; ok {
		return s.Standing
	}
	return Even
}

// Teams returns the states of the known teams in the order of their names.
func (t *Tracker) Teams() []Team {
	out := make([]Team, 0, len(t.teams))
	for _, team := range t.teams {
		out = append(out, *team)
	}
	slices.SortFunc(out, func(a, b Team) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

// Parts returns the fair part of each team: the division of what all of them hold now in proportion to their weights, where no team gets more than it holds
// and requests together, and what it leaves goes to the others. Without waiting demand each part is the usage.
func Parts(loads []Load) []float64 {
	parts := make([]float64, len(loads))
	left, weights := 0.0, 0.0
	open := make([]int, len(loads)) // teams whose part isn't settled, those that need least for their weight first
	for i, l := range loads {
		open[i] = i
		left += l.Usage
		weights += l.Weight
	}
	slices.SortStableFunc(open, func(a, b int) int {
		return cmp.Compare((loads[a].Usage+loads[a].Demand)/loads[a].Weight, (loads[b].Usage+loads[b].Demand)/loads[b].Weight)
	})
	for _, i := range open {
		l := loads[i]
		parts[i] = min(l.Usage+l.Demand, max(0, left)*l.Weight/weights)
		left -= parts[i]
		weights -= l.Weight
	}
	return parts
}
