package applier

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/platform"
)

const domainPrefix = "domains/"

// horizonRow is the value of the table row domains/<domain>.
type horizonRow struct {
	UntilMS int    `json:"untilMs"` // no lease of the domain ends later; Unix milliseconds by the table's clock
	TakenBy string `json:"takenBy"` // domain that took over jobs after the last renewal of the row; empty if none
	// Workers are the workers that may hold leases. The worker list of a newly preferred host may lack some of them.
	Workers []string `json:"workers"`
}

// horizon is the time by this host's clock at which all leases of the domain must end. Other domains may take over its jobs afterwards.
type horizon struct {
	until       time.Time
	nextRenewal time.Time
}

// cap limits the time to live of a lease so that it ends before the horizon even if the command is in flight for up to flight.
func (h *horizon) cap(ttl time.Duration, now time.Time, flight time.Duration) time.Duration {
	return min(ttl, h.until.Sub(now)-flight)
}

// renewHorizon renews the row of the domain. The local time is taken before the row is read, so the horizon of this host is never later than
// the one in the row.
func (c *Controller) renewHorizon(ctx context.Context) {
	if c.stepStart.Before(c.horizon.nextRenewal) || !c.hasAuthority() {
		return
	}
	c.horizon.nextRenewal = c.stepStart.Add(c.cfg.ScanPeriod) // next attempt if this one fails
	key := domainPrefix + c.deps.Domain
	start := c.now()
	current, err := platform.ReadCurrent(ctx, c.deps.Table, key)
	c.recordTableResult(err)
	if err != nil || !c.hasAuthority() {
		return
	}
	previous := c.decodeHorizonRow(current.Rows[0].Value)
	if previous.TakenBy != "" {
		for _, j := range c.jobs {
			j.rowUncertain = true // another domain may have taken the job over
		}
	}
	renewed := horizonRow{UntilMS: current.NowMS + int(c.cfg.Horizon.Milliseconds()), Workers: c.mayHoldLeases()}
	value, _ := json.Marshal(renewed) // cannot fail for this type
	resp, err := c.deps.Table.Txn(ctx, api.TxnRequest{
		Conditions: []api.TableCondition{{Key: key, Version: current.Rows[0].Version}},
		Writes:     []api.TableWrite{{Key: key, Value: string(value)}},
	})
	c.recordTableResult(err)
	if err == nil && resp.Committed {
		c.horizon = horizon{until: start.Add(time.Duration(float64(c.cfg.Horizon) / maxClockRate)), nextRenewal: c.stepStart.Add(c.cfg.HorizonPeriod)}
	}
}

// readHorizon reads the horizon from the row on a host that is not preferred. A stale row gives an earlier horizon, which is safe.
func (c *Controller) readHorizon(ctx context.Context) {
	start := c.now()
	resp, err := c.deps.Table.Get(ctx, domainPrefix+c.deps.Domain)
	c.recordTableResult(err)
	if err != nil || len(resp.Rows) == 0 {
		return
	}
	row := c.decodeHorizonRow(resp.Rows[0].Value)
	left := time.Duration(row.UntilMS-resp.NowMS) * time.Millisecond
	c.horizon = horizon{until: start.Add(time.Duration(float64(left) / maxClockRate))}
}

// decodeHorizonRow decodes the row and records the workers of former preferred hosts. Without a row, no lease was granted.
func (c *Controller) decodeHorizonRow(value string) horizonRow {
	var row horizonRow
	_ = json.Unmarshal([]byte(value), &row)
	if c.formerWorkers == nil {
		c.formerWorkers = map[string]bool{}
	}
	for _, id := range row.Workers {
		c.formerWorkers[id] = true
	}
	return row
}

// mayHoldLeases returns the workers that this host tracks and, until the leases of former preferred hosts have expired, also theirs.
func (c *Controller) mayHoldLeases() []string {
	if c.formerLeasesExpired() {
		clear(c.formerWorkers)
	}
	ids := slices.Collect(maps.Keys(c.workers))
	for id := range c.formerWorkers {
		if c.workers[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
