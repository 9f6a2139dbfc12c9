package dispatch

// isRunTimeSample reports whether a finished run shows how long a whole task takes: it started from the beginning, under this leader, and its workers were
// on the rack that its step prefers.
func (c *Core) isRunTimeSample(t *task) bool {
	return !t.inherited && !t.resumed && c.onPreferredRack(t.group)
}

// onPreferredRack reports whether the workers of a group are on the rack that its step prefers.
func (c *Core) onPreferredRack(g *taskGroup) bool {
	spec, rack := g.spec(), ""
	for _, t := range g.tasks {
		w := c.workers[t.worker]
		switch {
		case w == nil, spec.DataRack != "" && w.Rack != spec.DataRack, spec.SameRack && rack != "" && w.Rack != rack:
			return false
		}
		rack = w.Rack
	}
	return true
}
