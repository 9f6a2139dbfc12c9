package dispatch

// remainingShare returns the part of the work of an occurrence of a job that no run does or has done, from 0 to 1.
func (c *Core) remainingShare(j *job, occurrence int) float64 {
	total, remaining := 0.0, 0.0
	for i, s := range j.steps[occurrence] {
		spec := &j.Steps[i]
		perTask := spec.Need.CoreEquivalents() * c.expectedRunTime(&j.Job, i).Seconds()
		waiting := s.waiting
		if !s.opened {
			waiting = spec.Tasks
		}
		total += float64(spec.Tasks) * perTask
		remaining += float64(waiting) * perTask
	}
	if total == 0 {
		return 1
	}
	return remaining / total
}
