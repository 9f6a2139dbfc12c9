package limits

import (
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

// Counters of the table requests of this process.
var (
	tableReads     = expvar.NewInt("limits_table_reads")
	tableWrites    = expvar.NewInt("limits_table_writes")
	tableConflicts = expvar.NewInt("limits_table_conflicts")
	tableErrors    = expvar.NewInt("limits_table_errors")
)

const (
	pollPeriod   = 250 * time.Millisecond // interval between two checks for a due request
	tableTimeout = 2 * time.Second        // timeout of a table request
)

// Run sends the table requests of the node until ctx ends. Only one Run per node may be active at a time.
func (n *Node) Run(ctx context.Context, table platform.Table, clk clock.Clock) {
	unavailable := false
	for {
		if req, ok := n.NextTableRequest(clk.Now()); ok {
			err := n.sendTableRequest(ctx, table, req, clk)
			if (err != nil) != unavailable {
				unavailable = err != nil
				logrus.WithError(err).WithField("down", unavailable).Info("platform table changed state for limit shares")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-n.signals.table:
		case <-clk.After(pollPeriod):
		}
	}
}

func (n *Node) sendTableRequest(ctx context.Context, table platform.Table, req TableRequest, clk clock.Clock) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if req.Txn == nil {
		tableReads.Add(1)
		resp, err := table.Get(ctx, RowKey)
		return n.applyTableResponse(req, resp.Rows, false, err, clk)
	}
	tableWrites.Add(1)
	resp, err := table.Txn(ctx, *req.Txn)
	if err == nil && !resp.Committed {
		tableConflicts.Add(1)
	}
	return n.applyTableResponse(req, resp.Rows, resp.Committed, err, clk)
}

func (n *Node) applyTableResponse(req TableRequest, rows []api.TableRow, committed bool, err error, clk clock.Clock) error {
	if responseErr := n.OnTableResponse(req, rows, committed, err, clk.Now()); responseErr != nil {
		err = responseErr
	}
	if err != nil {
		tableErrors.Add(1)
	}
	return err
}
