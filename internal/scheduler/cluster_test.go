package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// cluster applies decisions to a snapshot and checks each action.
type cluster struct {
	snap    Snapshot
	lastJob int
}

var testStart = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func drawShape(t *rapid.T, maxParts int) Shape {
	return Shape{
		Parts:     rapid.IntRange(1, maxParts).Draw(t, "parts"),
		Part:      Resources{Cores: rapid.IntRange(1, 4).Draw(t, "cores"), MemoryGB: 1, Accelerators: rapid.IntRange(0, 4).Draw(t, "acc")},
		Adjacency: Adjacency(rapid.IntRange(1, 3).Draw(t, "adjacency")),
	}
}

// drawCluster draws 2 to 5 workers in 2 racks and two teams with guarantees. In half of the cases the guarantees are small, so that the workers can
// usually hold all of them.
func drawCluster(t *rapid.T) *cluster {
	c := &cluster{snap: Snapshot{Domain: "d", Now: testStart, Weights: Weights{1, 1}}}
	for i := range rapid.IntRange(2, 5).Draw(t, "workers") {
		c.snap.Workers = append(c.snap.Workers, Worker{
			ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i%2), Usable: true,
			Capacity: Resources{Cores: 8, MemoryGB: 8, Accelerators: rapid.SampledFrom([]int{0, 4, 4}).Draw(t, "capacity")},
		})
	}
	small := rapid.Bool().Draw(t, "small")
	for i := range 2 {
		team := Team{ID: fmt.Sprintf("t%d", i), Weight: float64(1 + i), AcceleratorLimit: rapid.SampledFrom([]int{Unlimited, Unlimited, 10}).Draw(t, "limit")}
		if small {
			part := Resources{Cores: 1, MemoryGB: 1, Accelerators: rapid.IntRange(1, 2).Draw(t, "acc")}
			shape := Shape{rapid.IntRange(1, 2).Draw(t, "parts"), part, rapid.SampledFrom([]Adjacency{SameRack, SameDomain}).Draw(t, "adjacency")}
			team.Guarantees = []Guarantee{{shape, 1}}
			c.snap.Teams = append(c.snap.Teams, team)
			continue
		}
		for range rapid.IntRange(1, 2).Draw(t, "forms") {
			team.Guarantees = append(team.Guarantees, Guarantee{drawShape(t, 2), rapid.IntRange(1, 2).Draw(t, "count")})
		}
		c.snap.Teams = append(c.snap.Teams, team)
	}
	return c
}

// submit adds a waiting job. In half of the cases it has a guaranteed shape.
func (c *cluster) submit(t *rapid.T) {
	team := c.snap.Teams[rapid.IntRange(0, 1).Draw(t, "team")]
	shape := drawShape(t, 4)
	if rapid.Bool().Draw(t, "claim") {
		shape = team.Guarantees[0].Shape
	}
	c.lastJob++
	c.snap.Waiting = append(c.snap.Waiting, Waiting{Job: Job{
		ID: fmt.Sprintf("j%03d", c.lastJob), Team: team.ID, Kind: "k", Class: Class(c.lastJob % 3), Shape: shape,
		Submitted: c.snap.Now, DeclaredRun: time.Hour,
	}})
}

// endGang removes a running gang.
func (c *cluster) endGang(t *rapid.T) {
	if n := len(c.snap.Running); n > 0 {
		i := rapid.IntRange(0, n-1).Draw(t, "ended")
		c.snap.Running = slices.Delete(c.snap.Running, i, i+1)
	}
}

// toggleWorker fails or repairs a worker. The jobs of gangs on a failed worker wait again.
func (c *cluster) toggleWorker(t *rapid.T) {
	w := &c.snap.Workers[rapid.IntRange(0, len(c.snap.Workers)-1).Draw(t, "worker")]
	w.Usable = !w.Usable
	c.snap.Running = slices.DeleteFunc(c.snap.Running, func(r Running) bool {
		hit := !w.Usable && slices.Contains(r.Workers, w.ID)
		if hit {
			c.snap.Waiting = append(c.snap.Waiting, Waiting{Job: r.Job})
		}
		return hit
	})
}

// step plans one cycle, applies its actions in order, and checks the placements after each action.
func (c *cluster) step(t must.T) Decision {
	d := Plan(c.snap)
	for _, a := range d.Actions {
		switch a.Kind {
		case Preempt:
			c.stop(t, a.JobID)
		case Place:
			c.place(t, a)
		case Migrate:
			c.migrate(t, a)
		case Refuse:
			c.snap.Waiting = slices.DeleteFunc(c.snap.Waiting, func(w Waiting) bool { return w.ID == a.JobID })
		}
		c.checkPlacements(t)
	}
	c.snap.Footprints, c.snap.Reservation = d.Footprints, d.Reservation
	c.snap.Now = c.snap.Now.Add(10 * time.Minute)
	for i := range c.snap.Running {
		c.snap.Running[i].CheckpointAge += 10 * time.Minute
	}
	return d
}

func (c *cluster) stop(t must.T, id string) {
	i := slices.IndexFunc(c.snap.Running, func(r Running) bool { return r.ID == id })
	must.GreaterEq(t, 0, i)
	r := c.snap.Running[i]
	must.EqOp(t, NoSlot, r.Slot, must.Sprint("guaranteed work was preempted"))
	c.snap.Running = slices.Delete(c.snap.Running, i, i+1)
	r.Preemptions++
	c.snap.Waiting = append(c.snap.Waiting, Waiting{Job: r.Job})
}

func (c *cluster) place(t must.T, a Action) {
	i := slices.IndexFunc(c.snap.Waiting, func(w Waiting) bool { return w.ID == a.JobID })
	must.GreaterEq(t, 0, i, must.Sprint("placed a job that does not wait"))
	w := c.snap.Waiting[i]
	must.Len(t, w.Shape.Parts, a.Workers, must.Sprint("gang is partial"))
	for _, id := range a.Workers {
		must.False(t, slices.Contains(w.FailedWorkers, id))
	}
	c.snap.Waiting = slices.Delete(c.snap.Waiting, i, i+1)
	c.snap.Running = append(c.snap.Running, Running{Job: w.Job, Workers: a.Workers, Slot: a.Slot, Started: c.snap.Now})
}

func (c *cluster) migrate(t must.T, a Action) {
	i := slices.IndexFunc(c.snap.Running, func(r Running) bool { return r.ID == a.JobID })
	must.GreaterEq(t, 0, i)
	c.snap.Running[i].Workers = a.Workers
	c.snap.Running[i].CheckpointAge = 0
}

// checkPlacements checks that gangs run on usable workers and satisfy their adjacency, and that no worker is overcommitted.
func (c *cluster) checkPlacements(t must.T) {
	workers := map[string]Worker{}
	free := map[string]Resources{}
	for _, w := range c.snap.Workers {
		workers[w.ID], free[w.ID] = w, w.Capacity
	}
	for _, r := range c.snap.Running {
		first := workers[r.Workers[0]]
		for _, id := range r.Workers {
			w := workers[id]
			must.True(t, w.Usable)
			must.True(t, r.Shape.Adjacency == SameDomain || w.Rack == first.Rack)
			must.True(t, r.Shape.Adjacency != SameWorker || id == first.ID)
			free[id] = free[id].minus(r.Shape.Part)
			must.True(t, free[id].contains(Resources{}), must.Sprintf("%s is overcommitted", id))
		}
	}
}

// shuffled returns the snapshot with all lists in another order.
func (c *cluster) shuffled(seed uint64) Snapshot {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := c.snap
	s.Workers, s.Teams = slices.Clone(s.Workers), slices.Clone(s.Teams)
	s.Running, s.Waiting = slices.Clone(s.Running), slices.Clone(s.Waiting)
	rnd.Shuffle(len(s.Workers), func(i, j int) { s.Workers[i], s.Workers[j] = s.Workers[j], s.Workers[i] })
	rnd.Shuffle(len(s.Teams), func(i, j int) { s.Teams[i], s.Teams[j] = s.Teams[j], s.Teams[i] })
	rnd.Shuffle(len(s.Running), func(i, j int) { s.Running[i], s.Running[j] = s.Running[j], s.Running[i] })
	rnd.Shuffle(len(s.Waiting), func(i, j int) { s.Waiting[i], s.Waiting[j] = s.Waiting[j], s.Waiting[i] })
	return s
}
