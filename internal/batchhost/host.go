// Package batchhost wires one entry host for job scheduling. The host follows the configuration and the states of jobs, serves callers, and schedules
// jobs while it is the elected leader.
package batchhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/intake"
	"samphirewell/internal/lead"
	"samphirewell/internal/rowstore"
)

const (
	// statesInterval is the shortest time between two reads of the states table. States that may still change are requested from the leader, so this
	// only bounds how late the loss of a leader is detected.
	statesInterval = 250 * time.Millisecond
	// distantStatesInterval is the interval of hosts that probe the leader only after promptHosts others. Most hosts of a large deployment are such: a table that is
	// slowed 60 times carries some 250 reads a second. Callers may see the number of waiting jobs 2 s late.
	distantStatesInterval = time.Second
	promptHosts           = 12
	// inboxInterval is the shortest time between two reads of the inbox by the leader; it delays the start of a job by half of that on average.
	inboxInterval = 30 * time.Millisecond
	// claimCheckInterval is the time between two checks whether the leader has to be probed or leadership claimed.
	claimCheckInterval = 50 * time.Millisecond
	// restoreRetryPause is the pause after a failed read of the rows that earlier leaders have stored.
	restoreRetryPause = 100 * time.Millisecond
	// maxReadyPolicyAge is the age of the configuration below which a host is ready for new connections. Two reads may fail in that time.
	maxReadyPolicyAge = 3 * time.Second
)

// Sources follows the tables that operators and workers write. FollowOperator and FollowWorkers return when ctx ends.
type Sources interface {
	// FollowOperator calls policy with each configuration that is read, waves with new maintenance waves, and evacuations with the complete set of evacuated
	// failure domains whenever it is listed or may have changed, before it calls policy for the same rows.
	FollowOperator(ctx context.Context, policy func(*batch.Policy), waves func([]batch.Wave), evacuations func([]string))
	// PolicyAge returns the time since the newest configuration, and all else that FollowOperator reports, was last confirmed by a read.
	PolicyAge() time.Duration
	// FollowWorkers calls report with the complete list of workers at each change.
	FollowWorkers(ctx context.Context, report func([]batch.Worker))
	// WorkersAge returns the time since the newest list of workers was last confirmed by a read.
	WorkersAge() time.Duration
}

// Options holds the settings and dependencies of a Host.
type Options struct {
	HostID      string
	Incarnation string // identifies this process among all that ran on the host
	Address     string // ip:port on which other hosts reach this one
	// Processors is the processor time that the host may use, in cores.
	Processors float64
	// MaxRowBytes is the longest value of a row that the store takes; 0 means rowstore.MinRowBytes.
	MaxRowBytes int
	Store       rowstore.Store
	Peers       Peers
	Sources     Sources
	WorkerAPI   dispatch.WorkerAPI
	Machines    dispatch.MachineProvider // nil if no machines can be maintained
	Bounds      dispatch.Bounds
	Clock       dispatch.Clock
	Metrics     Metrics
	Log         logrus.FieldLogger
}

// Peers sends requests to other hosts.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Metrics receives measurements of a host.
type Metrics interface {
	dispatch.Metrics
	Leading(epoch uint64) // 0 when the host doesn't lead
}

// Host is one entry host.
type Host struct {
	options        Options
	intake         *intake.Intake
	leaderWatch    *lead.Watch
	statesFollower *rowstore.Follower
	hosts          hostList
	markers        *intake.Markers // kept up to date while leading

	mu     sync.Mutex
	bounds dispatch.Bounds
	waves  []batch.Wave
	// evacuations is the set of evacuated failure domains; replaced as a whole.
	evacuations []string
	runner      *dispatch.Runner // while leading
	epoch       uint64           // while leading, else 0
}

var leaderKey = rowstore.Key{Table: dispatch.TableStates, Partition: dispatch.Partition, Key: dispatch.LeaderKey}

// New returns a host; Run starts it.
func New(o Options) *Host {
	h := &Host{options: o, bounds: o.Bounds, markers: intake.NewMarkers(), leaderWatch: lead.NewWatch(leaderKey, o.HostID, o.Processors)}
	h.intake = intake.New(o.Store, o.Sources.PolicyAge, h, o.Log)
	if o.MaxRowBytes > 0 {
		h.intake.SetMaxRowBytes(o.MaxRowBytes)
	}
	h.statesFollower = rowstore.NewFollower(o.Store, dispatch.TableStates, []string{dispatch.Partition}, stateRows{h}, statesInterval, o.Log)
	h.statesFollower.Interval = h.statesInterval
	return h
}

// Intake returns the intake, which serves callers.
func (h *Host) Intake() *intake.Intake { return h.intake }

// Ready reports whether the host should get new connections of callers.
func (h *Host) Ready() bool {
	return h.intake.Policy() != nil && h.options.Sources.PolicyAge() < maxReadyPolicyAge
}

// Status is a snapshot of the state of a host.
type Status struct {
	PolicyVersion int64 // 0 without a configuration
	PolicyAge     time.Duration
	StatesAge     time.Duration      // time since the copy of the states table was last confirmed by a read
	OtherHosts    int                // number of other hosts in the host list
	Epoch         uint64             // while this host leads, else 0
	Leader        *dispatch.Overview // nil while it doesn't lead
	CancelMarkers int                // stored markers of cancelled jobs that were not stored, as the leader knows them
	// EvacuatedDomains is the number of failure domains that are evacuated, also those without workers.
	EvacuatedDomains int
}

// Status returns the state of the host.
func (h *Host) Status() Status {
	s := Status{PolicyAge: h.options.Sources.PolicyAge(), StatesAge: h.statesFollower.Age(time.Now()), OtherHosts: len(h.OtherHosts()), CancelMarkers: h.markers.Len()}
	if p := h.intake.Policy(); p != nil {
		s.PolicyVersion = p.Version
	}
	h.mu.Lock()
	r, epoch := h.runner, h.epoch
	s.EvacuatedDomains = len(h.evacuations)
	h.mu.Unlock()
	s.Epoch = epoch
	if r != nil {
		o := r.Overview()
		s.Leader = &o
	}
	return s
}

// stateRows passes the rows of the states table to the leader watch, the host list and the intake.
type stateRows struct{ h *Host }

// Reset implements rowstore.Handler.
func (s stateRows) Reset(rows []rowstore.Row) {
	s.observe(rows, true)
	s.h.intake.States().Reset(rows)
}

func (s stateRows) observe(rows []rowstore.Row, complete bool) {
	now := time.Now()
	s.h.leaderWatch.Observe(rows, complete, now)
	if err := s.h.hosts.observe(rows, complete, now); err != nil {
		s.h.options.Log.WithError(err).Error("cannot decode a row of the host list")
	}
}

// Changed implements rowstore.Handler.
func (s stateRows) Changed(rows []rowstore.Row) {
	s.observe(rows, false)
	s.h.intake.States().Changed(rows)
}

// Run follows the tables until serveCtx ends, and leads when elected until leadCtx ends. Leadership is released before Run returns, and no goroutine of
// the host outlives it.
func (h *Host) Run(serveCtx, leadCtx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { h.statesFollower.Run(serveCtx) })
	group.Go(func() { h.options.Sources.FollowOperator(serveCtx, h.setPolicy, h.addWaves, h.setEvacuations) })
	group.Go(func() { h.register(serveCtx) })
	h.leadLoop(leadCtx, &group)
}

func (h *Host) setPolicy(p *batch.Policy) {
	if old := h.intake.Policy(); old == nil || p.Version > old.Version {
		h.options.Log.WithFields(logrus.Fields{"version": p.Version, "queues": len(p.Queues), "teams": len(p.Teams)}).Info("configuration in force")
	}
	h.intake.SetPolicy(p)
	h.mu.Lock()
	r := h.runner
	h.mu.Unlock()
	if r != nil {
		r.Do(func(c *dispatch.Core, _ time.Duration) { c.SetPolicy(p) })
	}
}

// SetBounds applies new limits of workers.
func (h *Host) SetBounds(b dispatch.Bounds) {
	h.mu.Lock()
	h.bounds = b
	r := h.runner
	h.mu.Unlock()
	if r != nil {
		r.Do(func(c *dispatch.Core, _ time.Duration) { c.SetBounds(b) })
	}
}

func (h *Host) currentBounds() dispatch.Bounds {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bounds
}

// addWaves records maintenance waves and passes them to the core while this host leads. Adding a wave again has no further effect.
func (h *Host) addWaves(waves []batch.Wave) {
	h.mu.Lock()
	h.waves = append(h.waves, waves...)
	r := h.runner
	h.mu.Unlock()
	if r != nil {
		r.Do(func(c *dispatch.Core, now time.Duration) { c.SetWaves(waves, now) })
	}
}

func (h *Host) maintenanceWaves() []batch.Wave {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.waves)
}

// setEvacuations records the set of evacuated failure domains and passes it to the core while this host leads. It returns once the core has the set, so that
// the age of the copy of the operator's table never counts for a set that the core lacks.
func (h *Host) setEvacuations(domains []string) {
	h.mu.Lock()
	h.evacuations = domains
	r := h.runner
	h.mu.Unlock()
	if r != nil {
		r.Do(func(c *dispatch.Core, now time.Duration) { c.SetEvacuations(h.evacuatedDomains(), now) })
	}
}

func (h *Host) evacuatedDomains() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evacuations
}

// statesInterval returns how often this host reads the states table.
func (h *Host) statesInterval() time.Duration {
	leader, known := h.leaderWatch.Leader()
	if known && leader.Host != h.options.HostID && h.hosts.rank(h.options.HostID, h.options.Processors, leader.Epoch) >= promptHosts {
		return distantStatesInterval
	}
	return statesInterval
}

// leadLoop probes the leader and claims leadership whenever either is due, until ctx ends. Probes run in the group.
func (h *Host) leadLoop(ctx context.Context, group *sync.WaitGroup) {
	ticker := time.NewTicker(claimCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if age := h.statesFollower.Age(now); age < time.Duration(1<<62) {
			h.leaderWatch.RecordRead(now.Add(-age))
		}
		if leader, known := h.leaderWatch.Leader(); known {
			h.leaderWatch.SetRank(h.hosts.rank(h.options.HostID, h.options.Processors, leader.Epoch))
		}
		if row, version, due := h.leaderWatch.ProbeDue(now); due {
			group.Go(func() { h.probeLeader(ctx, row, version) })
		}
		if row, due := h.leaderWatch.ClaimDue(now); due && h.intake.Policy() != nil {
			h.claimAndLead(ctx, row)
		}
	}
}

func (h *Host) claimAndLead(ctx context.Context, observed rowstore.Row) {
	log := h.options.Log
	session, err := h.claim(ctx, observed)
	if err != nil {
		h.leaderWatch.RecordFailedClaim(observed.Version, time.Now())
		log.WithError(err).Info("claim of leadership failed")
		return
	}
	log.WithFields(logrus.Fields{"epoch": session.Epoch(), "observed_version": observed.Version}).Info("leading")
	h.options.Metrics.Leading(session.Epoch())
	err = h.lead(ctx, session)
	h.options.Metrics.Leading(0)
	log.WithFields(logrus.Fields{"epoch": session.Epoch()}).WithError(err).Info("stopped leading")
}

// claim claims leadership until the result is known or another host has claimed: that host's row fails the condition of every attempt, and on a table that
// is overloaded by the claims of many hosts the responses come too late.
func (h *Host) claim(ctx context.Context, observed rowstore.Row) (*lead.Session, error) {
	claimCtx, giveUp := context.WithCancelCause(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer giveUp(nil)
	group.Go(func() {
		for lead.Sleep(claimCtx, claimCheckInterval) {
			if h.leaderWatch.ClaimedByOther(observed.Version, h.options.Incarnation) {
				giveUp(lead.ErrDeposed)
			}
		}
	})
	session, err := lead.Claim(claimCtx, h.options.Store, leaderKey, observed,
		lead.Row{Host: h.options.HostID, Address: h.options.Address, Processors: h.options.Processors, Incarnation: h.options.Incarnation})
	if err != nil && errors.Is(context.Cause(claimCtx), lead.ErrDeposed) {
		return nil, lead.ErrDeposed
	}
	return session, err
}

// lead restores the state that earlier leaders have stored, and leads until ctx ends or another host takes over.
func (h *Host) lead(ctx context.Context, session *lead.Session) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	h.setRunner(nil, session.Epoch())
	defer h.setRunner(nil, 0)
	core := dispatch.New(session.Epoch(), h.intake.Policy(), h.currentBounds(), h.options.Log)
	restored, err := h.restoreWhileRenewing(runCtx, core, session)
	if err != nil {
		return err
	}
	r := dispatch.NewRunner(core, session, adviceForwarder{h.options.WorkerAPI, h.options.Peers}, h.options.Clock, h.options.Metrics, h.options.Log)
	r.SetAdviceRequesters(h.OtherHosts)
	r.SetWorkersAge(h.options.Sources.WorkersAge)
	r.SetOperatorAge(h.options.Sources.PolicyAge)
	h.setRunner(r, session.Epoch())
	r.SetMachines(h.options.Machines)
	// A configuration, wave or evacuation that was read before or during the restore has not reached the core.
	r.Do(func(c *dispatch.Core, now time.Duration) {
		c.SetPolicy(h.intake.Policy())
		c.SetWaves(h.maintenanceWaves(), now)
		c.SetEvacuations(h.evacuatedDomains(), now)
	})
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	inbox := rowstore.NewFollower(h.options.Store, intake.TableInbox, intake.InboxPartitions(), inboxRows{h, r}, inboxInterval, h.options.Log)
	inbox.StartAfter(restored.version)
	group.Go(func() { inbox.Run(runCtx) })
	group.Go(func() {
		h.options.Sources.FollowWorkers(runCtx, func(list []batch.Worker) {
			r.Do(func(c *dispatch.Core, now time.Duration) { c.SetWorkers(list, now) })
		})
	})
	group.Go(func() { h.cleanup(runCtx, r, restored.misplaced) })
	return r.Run(ctx)
}

func (h *Host) setRunner(r *dispatch.Runner, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runner, h.epoch = r, epoch
}

// restoreWhileRenewing restores the core and renews the leader row meanwhile: a host with little processor time takes longer to read the rows of many
// jobs than other hosts wait for a renewal.
func (h *Host) restoreWhileRenewing(ctx context.Context, core *dispatch.Core, session *lead.Session) (restoredInbox, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	renewCtx, stopRenewing := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		for lead.Sleep(renewCtx, lead.RenewInterval) {
			// The transaction runs under ctx, so that stopRenewing doesn't cancel it: its result has to be known before the next one.
			if err := session.Commit(ctx, nil, nil); err != nil {
				stop(err)
			}
		}
	})
	restored, err := h.restore(ctx, core)
	stopRenewing()
	group.Wait()
	if cause := context.Cause(ctx); cause != nil {
		return restoredInbox{}, cause
	}
	return restored, err
}

// restoredInbox is what a new leader has read of the inbox.
type restoredInbox struct {
	version   uint64        // after which the inbox has to be followed
	misplaced []intake.Move // of rows that are in the partition of an earlier version
}

// restore restores the core from the rows that earlier leaders have stored, and retries until that succeeds or ctx ends.
func (h *Host) restore(ctx context.Context, core *dispatch.Core) (restoredInbox, error) {
	for {
		restored, err := h.tryRestore(ctx, core)
		if err == nil {
			return restored, nil
		}
		h.options.Log.WithError(err).Warn("could not read the stored jobs")
		select {
		case <-ctx.Done():
			return restoredInbox{}, errors.WithStack(ctx.Err())
		case <-time.After(restoreRetryPause):
		}
	}
}

func (h *Host) tryRestore(ctx context.Context, core *dispatch.Core) (restoredInbox, error) {
	var states, tasks, inbox []rowstore.Row
	var version uint64
	var errs [3]error
	var group sync.WaitGroup
	scan := func(err *error, rows *[]rowstore.Row, version *uint64, table string, partitions []string) {
		group.Go(func() { *rows, *version, *err = rowstore.ScanAll(ctx, h.options.Store, table, partitions) })
	}
	var ignored [2]uint64
	scan(&errs[0], &states, &ignored[0], dispatch.TableStates, []string{dispatch.Partition})
	scan(&errs[1], &tasks, &ignored[1], dispatch.TableTasks, []string{dispatch.Partition})
	scan(&errs[2], &inbox, &version, intake.TableInbox, intake.InboxPartitions())
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return restoredInbox{}, err
		}
	}
	var jobs []batch.Job
	var cancels []string
	for _, r := range inbox {
		switch e, err := intake.DecodeEntry(r); {
		case err != nil:
			h.options.Log.WithField("row", r.Key.Key).WithError(err).Error("cannot decode a row of the inbox")
		case e.Marker:
		case e.Cancel:
			cancels = append(cancels, e.ID)
		case !e.Ended:
			jobs = append(jobs, e.Job)
		}
	}
	sortByAcceptance(jobs)
	now := h.options.Clock.SinceBoot()
	h.markers.Reset(inbox, now)
	core.Restore(jobs, states, tasks, now, h.options.Clock.WallMS())
	for _, id := range cancels {
		core.Cancel(id, now)
	}
	return restoredInbox{version, intake.MisplacedRows(inbox)}, nil
}

// inboxRows passes submissions and cancel requests to the leader's core.
type inboxRows struct {
	h *Host
	r *dispatch.Runner
}

// Reset implements rowstore.Handler.
func (i inboxRows) Reset(rows []rowstore.Row) {
	i.h.markers.Reset(rows, i.h.options.Clock.SinceBoot())
	i.apply(rows)
}

// Changed implements rowstore.Handler.
func (i inboxRows) Changed(rows []rowstore.Row) {
	i.h.markers.Apply(rows, i.h.options.Clock.SinceBoot())
	i.apply(rows)
}

func (i inboxRows) apply(rows []rowstore.Row) {
	var entries []intake.Entry
	for _, r := range rows {
		if r.Deleted {
			continue
		}
		e, err := intake.DecodeEntry(r)
		if err != nil {
			i.h.options.Log.WithField("row", r.Key.Key).WithError(err).Error("cannot decode a row of the inbox")
			continue
		}
		entries = append(entries, e)
	}
	i.r.Do(func(c *dispatch.Core, now time.Duration) {
		for _, e := range entries {
			switch {
			case e.Marker:
			case e.Cancel:
				c.Cancel(e.ID, now)
			case !e.Ended:
				c.AddJob(e.Job, now)
			}
		}
	})
}
