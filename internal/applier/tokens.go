package applier

import (
	"context"
	"strconv"

	"samphirewell/internal/api"
	"samphirewell/internal/platform"
)

const (
	// tokensPerBlock is the number of fencing tokens that one write to the table reserves.
	tokensPerBlock = 1 << 20
	// refillThreshold is the number of remaining tokens at which the next block is reserved.
	refillThreshold = 1 << 16
	tokenPrefix     = "tokens/"
)

// tokens issues fencing tokens: block number * tokensPerBlock + counter. Each block belongs to one controller only.
type tokens struct {
	next, end  int // remaining tokens: [next, end)
	floor      int // the next block must be above the block that contains this token
	needsBlock bool
}

// issue returns a token above floor. It returns false if this needs another block, which ensureTokens reserves.
func (t *tokens) issue(floor int) (int, bool) {
	if t.next <= floor && floor < t.end {
		t.next = floor + 1
	}
	if t.next >= t.end || t.next <= floor {
		t.floor, t.needsBlock = max(t.floor, floor), true
		return 0, false
	}
	t.next++
	return t.next - 1, true
}

// requireAbove requests a new block, which is above all earlier ones. It is called when a worker has recorded a token of another controller
// above the given one.
func (t *tokens) requireAbove(above int) { t.floor, t.needsBlock = max(t.floor, above), true }

// ensureTokens reserves a token block if few tokens remain or a job needs a higher block.
func (c *Controller) ensureTokens(ctx context.Context) {
	t := &c.tokens
	if !t.needsBlock && t.end-t.next > refillThreshold || c.outage || !c.hasAuthority() {
		return
	}
	c.reserveTokens(ctx)
}

func (c *Controller) reserveTokens(ctx context.Context) {
	t := &c.tokens
	key := tokenPrefix + c.deps.Domain
	current, err := platform.ReadCurrent(ctx, c.deps.Table, key)
	c.recordTableResult(err)
	if err != nil {
		return
	}
	row := current.Rows[0]
	last, _ := strconv.Atoi(row.Value) // 0 if the row does not exist
	block := max(last, t.floor/tokensPerBlock) + 1
	resp, err := c.deps.Table.Txn(ctx, api.TxnRequest{
		Conditions: []api.TableCondition{{Key: key, Version: row.Version}},
		Writes:     []api.TableWrite{{Key: key, Value: strconv.Itoa(block)}},
	})
	c.recordTableResult(err)
	if err == nil && resp.Committed {
		// If the response is lost, the block remains unused.
		*t = tokens{next: block*tokensPerBlock + 1, end: (block + 1) * tokensPerBlock}
	}
}
