package lead

import "time"

const (
	// maxUnansweredProbes is the number of consecutive probes without a response after which a leader that doesn't write is lost. A busy leader may
	// miss one.
	maxUnansweredProbes = 2
	// maxRefusedWriteAge is the age of the last write above which a leader whose writes the store refuses is lost, if the store serves the host that
	// probes it.
	maxRefusedWriteAge = 600 * time.Millisecond
)

// Evidence is what the probes of a leader whose row doesn't change have shown.
type Evidence struct {
	RowChanged bool // since the first probe
	Unanswered int  // consecutive probes without a response
	Refused    bool // the host of the leader refused the connection: the process has ended
	Answered   bool // the last probe was answered, with the following contents
	Leading    bool
	SameEpoch  bool // the leader has the epoch of the row
	// StoreRefusing is set if the store refuses the leader's current write, WriteAge the time since its last successful one.
	StoreRefusing bool
	WriteAge      time.Duration
}

// Verdict is the conclusion from the evidence on a leader.
type Verdict uint8

// Verdicts.
const (
	Alive   Verdict = iota + 1 // the leader works, or may just be slow
	Unclear                    // another probe is needed
	Lost                       // another host should claim leadership
)

// Judge returns the verdict on a leader. A leader that writes is never lost, however slowly it responds.
func (e Evidence) Judge() Verdict {
	switch {
	case e.RowChanged:
		return Alive
	case e.Refused:
		return Lost
	case e.Answered && (!e.Leading || !e.SameEpoch || e.StoreRefusing && e.WriteAge > maxRefusedWriteAge):
		return Lost
	case e.Answered:
		return Alive
	case e.Unanswered >= maxUnansweredProbes:
		return Lost
	}
	return Unclear
}
