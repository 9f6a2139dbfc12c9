package applier

import (
	"reflect"
	"slices"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/jobs"
)

// job is the in-memory state of a job that has not ended or whose end has not been written to its row.
type job struct {
	row          jobs.StoredJob // newest version of the row that was read or written
	rec          api.JobRecord  // desired contents of the row
	dirty        bool           // rec must be written to the row
	deferrable   bool           // the write may be made after more important ones
	rowUncertain bool           // the row may have changed or is missing from the scans; it must be read before the next write

	mayReuseFailedWorkers bool      // the job may be placed on workers on which it failed, because it fits nowhere else
	endsAsFailed          bool      // the job ends as failed once its placement is fenced
	tooLargeSince         time.Time // time from which the job has exceeded the listed workers; zero if it does not
	firstSeen             time.Time
	lastSeen              time.Time // newest scan, read or write that returned the row
	parts                 []part    // parts of the newest placement while it may run
	lastLeaseSent         time.Time // latest time at which this controller can have sent a commit or renewal of the placement
	nextRenewal           time.Time
	trackedSince          time.Time // when this controller started to track the placement
	fence                 *fence
}

// part is one part of a placement in the state that its worker last reported.
type part struct {
	api.Placement
	state       api.LeaseResultState // empty until the worker has reported it
	lastContact time.Time            // when the newest command with a response was sent
	lastAlive   time.Time            // when the newest command was sent whose response showed the part reserved or running
	overUse     overUseState
	progressMS  int
	checkpoint  string
}

func (p *part) active() bool {
	return p.state == api.LeaseResultStateRunning || p.state == api.LeaseResultStateReserved
}

func newJob(s jobs.StoredJob, now time.Time) *job {
	j := &job{row: s, rec: s.JobRecord, firstSeen: now, lastSeen: now}
	j.initParts(now)
	return j
}

// initParts creates the parts for the placements of the record.
func (j *job) initParts(now time.Time) {
	j.parts = make([]part, 0, len(j.rec.Placements))
	for _, p := range j.rec.Placements {
		j.parts = append(j.parts, part{Placement: p})
	}
	j.trackedSince, j.lastLeaseSent, j.nextRenewal = now, time.Time{}, time.Time{}
}

// holdsWorkers reports whether the job has a placement that may be running.
func (j *job) holdsWorkers() bool { return len(j.rec.Placements) > 0 && !jobs.Ended(j.rec.Phase) }

// adopt applies a row that was read. Unwritten changes are retained if others changed only flags, and dropped after a new phase or token.
func (j *job) adopt(s jobs.StoredJob, now time.Time) {
	if s.Key == j.row.Key && s.Version <= j.row.Version {
		return
	}
	flagsOnly := s.Token == j.row.Token && s.Phase == j.row.Phase
	samePlacement := s.Token == j.rec.Token && len(s.Placements) == len(j.rec.Placements)
	j.row = s
	switch {
	case j.dirty && reflect.DeepEqual(s.JobRecord, j.rec):
		j.dirty = false
	case flagsOnly:
		j.rec.CancelRequested = s.CancelRequested
		if !j.dirty {
			j.rec = s.JobRecord
		}
	case samePlacement:
		j.rec, j.dirty = s.JobRecord, false
	default:
		j.rec, j.dirty, j.fence = s.JobRecord, false, nil
		j.initParts(now)
	}
}

// set changes phase and reason of the record and marks it to be written without delay.
func (j *job) set(phase api.JobRecordPhase, reason string) {
	j.rec.Phase, j.rec.Reason, j.dirty, j.deferrable = phase, reason, true, false
}

// progress returns the run time that the checkpoints of all parts cover, including earlier placements, and the newest checkpoint of the
// first part.
func (j *job) progress() (ms int, checkpoint string) {
	if len(j.parts) == 0 {
		return j.rec.CheckpointProgressMS, j.rec.Checkpoint
	}
	least := j.parts[0].progressMS
	for i := range j.parts {
		least = min(least, j.parts[i].progressMS)
	}
	if least == 0 {
		return j.rec.CheckpointProgressMS, j.rec.Checkpoint
	}
	return j.rec.CheckpointProgressMS + least, j.parts[0].checkpoint
}

// oldestAlive returns the earliest lastAlive of the parts, zero if a part has not been reported alive. Succeeded parts count as alive now.
func (j *job) oldestAlive(now time.Time) time.Time {
	oldest := now
	for i := range j.parts {
		if p := &j.parts[i]; p.state != api.LeaseResultStateSucceeded && p.lastAlive.Before(oldest) {
			oldest = p.lastAlive
		}
	}
	return oldest
}

func (j *job) allParts(state api.LeaseResultState) bool {
	return len(j.parts) > 0 && !slices.ContainsFunc(j.parts, func(p part) bool { return p.state != state })
}

func (j *job) workers() []string {
	out := make([]string, 0, len(j.parts))
	for i := range j.parts {
		out = append(out, j.parts[i].WorkerID)
	}
	return out
}

func (j *job) ref(p *part, token int) api.LeaseRef {
	return api.LeaseRef{LeaseID: p.LeaseID, JobID: j.rec.ID, Token: token}
}

// recordResult records the reported state of the lease. Sent is the time at which the command was sent.
func (p *part) recordResult(state api.LeaseResultState, progressMS int, checkpoint string, sent time.Time) {
	if p.state == api.LeaseResultStateSucceeded || p.state == api.LeaseResultStateFailed {
		return // final; a restarted worker no longer reports it
	}
	if sent.Before(p.lastContact) {
		return // a newer response was already recorded
	}
	p.state, p.lastContact = state, sent
	if progressMS > p.progressMS {
		p.progressMS, p.checkpoint = progressMS, checkpoint
	}
	if p.active() && sent.After(p.lastAlive) {
		p.lastAlive = sent
	}
}
