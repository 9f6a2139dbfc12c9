package lead

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a leader that is deposed because it responds slowly, and against one that keeps leadership although it is dead or can't write.
func TestVerdictOnALeader(t *testing.T) {
	serving := Evidence{Answered: true, Leading: true, SameEpoch: true}
	for _, c := range []struct {
		name     string
		evidence Evidence
		want     Verdict
	}{
		{"one probe timed out", Evidence{Unanswered: 1}, Unclear},
		{"two probes timed out", Evidence{Unanswered: 2}, Lost},
		{"probes timed out, but the leader wrote meanwhile", Evidence{Unanswered: 2, RowChanged: true}, Alive},
		{"connection refused", Evidence{Unanswered: 1, Refused: true}, Lost},
		{"connection refused, but the leader wrote meanwhile", Evidence{Unanswered: 1, Refused: true, RowChanged: true}, Alive},
		{"answered after a time-out", Evidence{Answered: true, Leading: true, SameEpoch: true}, Alive},
		{"leads no longer", Evidence{Answered: true, SameEpoch: true}, Lost},
		{"restarted and leads under another epoch", Evidence{Answered: true, Leading: true}, Lost},
		{"the store refuses its writes", Evidence{Answered: true, Leading: true, SameEpoch: true, StoreRefusing: true, WriteAge: time.Second}, Lost},
		{"the store has refused a write just now", Evidence{Answered: true, Leading: true, SameEpoch: true, StoreRefusing: true, WriteAge: 300 * time.Millisecond}, Alive},
		{"its write takes long", Evidence{Answered: true, Leading: true, SameEpoch: true, WriteAge: time.Second}, Alive},
		{"serving", serving, Alive},
	} {
		must.Eq(t, c.want, c.evidence.Judge(), must.Sprint(c.name))
	}
}

// Guards against probes of all hosts at once, whose number would grow with the deployment, and against a dead leader that is probed by dead hosts only.
func TestFewHostsProbeTheLeaderAtATime(t *testing.T) {
	const hosts = 147
	store := newProbedLeader(t)
	probes := func(after time.Duration) int {
		n := 0
		for rank := range hosts {
			w := store.watch(rank)
			w.RecordRead(store.start.Add(after))
			if _, _, due := w.ProbeDue(store.start.Add(after)); due {
				n++
			}
		}
		return n
	}
	must.Eq(t, 0, probes(suspectAfter))
	must.Eq(t, probersPerGroup, probes(suspectAfter+maxJitter))
	must.Eq(t, 2*probersPerGroup, probes(suspectAfter+maxJitter+probeGroupDelay))
	must.Eq(t, 8*probersPerGroup, probes(suspectAfter+maxJitter+7*probeGroupDelay))
}
