package dispatch

import "time"

// maxLabelWait is how long a task waits for a worker with its label while all of them are suspected. It leaves a second of the time within which work has to run
// where capacity is free (3 s).
const maxLabelWait = 2 * time.Second

// admitSuspected makes the suspected workers with a label usable for this cycle if a task that needs it has waited long and no other worker has it. They may be
// suspected because of jobs that fail by their own fault. Their health penalty keeps other work away while there are other workers.
func (in *planInput) admitSuspected(ready []readyGroups, now time.Duration) {
	for _, r := range ready {
		g := r.groups[0]
		label := g.spec().Requires
		if label == "" || now-g.readySince <= maxLabelWait || in.hasUsable(label) {
			continue
		}
		for i := range in.Workers {
			if w := &in.Workers[i]; w.Suspected && in.workers[i].HasLabel(label) {
				w.Usable, w.Suspected, in.admitted[i] = true, false, true
			}
		}
	}
}

// hasUsable reports whether some usable worker has a label.
func (in *planInput) hasUsable(label string) bool {
	for i := range in.Workers {
		if in.Workers[i].Usable && in.workers[i].HasLabel(label) {
			return true
		}
	}
	return false
}
