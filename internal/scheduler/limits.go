package scheduler

import "time"

// Limits of the scheduling policy.
const (
	// MaxPreemptions is the number of preemptions after which a job is preempted only if no other victims suffice.
	MaxPreemptions = 3
	// MaxFailedWorkers is the number of distinct workers on which a job must have failed to end as failed.
	MaxFailedWorkers = 3
	// MaxFailedJobs is the number of distinct jobs that must have failed on a worker for it to be quarantined.
	MaxFailedJobs = 3

	// MaxReservationTime limits the time from the creation of a reservation to its deadline, independent of run time estimates. A longer time wastes
	// the reserved resources that backfilled jobs do not use; a shorter one causes more preemptions.
	MaxReservationTime = 2 * time.Hour
	// LargeDivisor defines large jobs: a job is large if it needs at least 1/LargeDivisor of the largest rack.
	LargeDivisor = 4
	// MaxReservationWait and reservationWaitRuns limit how long a large job waits before it may get a reservation: the lower of MaxReservationWait
	// and reservationWaitRuns times its expected run time, multiplied by the share of the completion weight. Until then short jobs are preferred.
	MaxReservationWait  = 24 * time.Hour
	reservationWaitRuns = 6
	// StarvationThreshold is the wait after which a job of any size may get a reservation.
	StarvationThreshold = 72 * time.Hour

	// backfillQuantile and backfillMargin make the estimate of a backfilled job's end conservative: the quantile of its run time, multiplied by
	// the margin. Most jobs end before it. The margin also applies to the estimated start of a reservation, which gives its deadline.
	backfillQuantile = 0.8
	backfillMargin   = 1.2
	// shareStep is the step to which weighted dominant shares are rounded down. Teams in the same step are served by the score of their jobs,
	// so that small differences between teams do not lengthen completion times.
	shareStep = 0.5

	// yieldFactor is the least ratio of the time that a job gains when gangs yield to it to the time that these gangs lose.
	yieldFactor = 2
	// maxYieldSearches limits the searches for yielding gangs in a cycle.
	maxYieldSearches = 4
	// yieldOverhead is the time that each yielding gang loses in addition to the run time since its newest checkpoint.
	yieldOverhead = 2 * time.Minute

	// migrateInterval is the minimum time between two migrations in a failure domain.
	migrateInterval = time.Minute
	// migrateOverhead is the run time that a migration costs in addition to the run time since the newest checkpoint.
	migrateOverhead = time.Minute
	// migrateHorizon is the longest time over which the gain of a migration is counted. Gangs whose newest checkpoint is older are not migrated.
	migrateHorizon = time.Hour

	// medianQuantile is the quantile used for expected run times.
	medianQuantile = 0.5
)
