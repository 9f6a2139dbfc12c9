package config

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

const (
	putAttempts   = 5                      // attempts of one Put; each reads and, if possible, writes once
	putRetryDelay = 200 * time.Millisecond // delay before the next attempt after the table was unavailable or a response was lost
)

// ErrRequestIDReused means that an earlier change with another content has the same request id.
var ErrRequestIDReused = errors.New("request id was used for another change")

// ErrTooOld means that the change is based on a version that is no longer kept, so it is not known whether an earlier attempt made the change.
var ErrTooOld = errors.New("the read version is no longer kept")

// ErrInvalidChange means that a field of the change is missing or out of range.
var ErrInvalidChange = errors.New("invalid change")

// Change is an operator's replacement of the lists.
type Change struct {
	ReadVersion int    // version that the operator read; 0 for an empty table
	Author      string // operator
	RequestID   string // idempotency key: unique per change, the same in every retry
	Text        string // lists in JSON with comments
}

// Result is an accepted change.
type Result struct {
	Accepted *Accepted
	Repeated bool // an earlier attempt with the same request id had made the change
}

// Conflict is the error of a change whose ReadVersion is not the current version. The change was not made.
type Conflict struct {
	ReadVersion int
	Current     *Accepted // nil if the table holds no version
	Changes     []string  // from the version that the operator read to the current one
	Complete    bool      // false if the version that the operator read is no longer kept
}

// Error describes the conflict with its differences.
func (c *Conflict) Error() string {
	if c.Current == nil {
		return fmt.Sprintf("the change is based on version %d, but no version exists yet", c.ReadVersion)
	}
	text := fmt.Sprintf("the change is based on version %d, but %s has made version %d", c.ReadVersion, c.Current.Author, c.Current.Version)
	if !c.Complete {
		return text + "; version " + fmt.Sprint(c.ReadVersion) + " is not kept, so the differences are not known"
	}
	return text + ":\n" + strings.Join(c.Changes, "\n")
}

// Publisher changes the accepted version in the platform's table.
type Publisher struct {
	table  platform.Table
	holder *Holder
	clk    clock.Clock
}

// NewPublisher returns a publisher that puts its accepted changes in force in holder immediately.
func NewPublisher(table platform.Table, holder *Holder, clk clock.Clock) *Publisher {
	return &Publisher{table: table, holder: holder, clk: clk}
}

// Put makes the change if ReadVersion is still the current version. It reads before every write, also after a lost response, and recognises an
// earlier write by its request id, so a repeated Put applies the change once.
//
// Errors: settings.Problems, ErrInvalidChange, *Conflict and ErrRequestIDReused mean that neither this Put nor an earlier one with the request id
// made the change. platform.ErrUncertain means that the change may have been made; repeating the same Put resolves this. platform.ErrUnavailable,
// ErrTooOld and ErrCorrupt mean that this Put changed nothing; the outcome of earlier ones stays unknown.
func (p *Publisher) Put(ctx context.Context, change Change) (Result, error) {
	if change.Author == "" || change.RequestID == "" || change.ReadVersion < 0 {
		return Result{}, errors.Wrap(ErrInvalidChange, "author and request id must be set and the version must not be negative")
	}
	lists, err := ParseLists("lists", []byte(change.Text))
	if err != nil {
		return Result{}, err
	}
	next := &Accepted{Version: change.ReadVersion + 1, Hash: HashText(change.Text), Author: change.Author,
		RequestID: change.RequestID, Text: change.Text, Lists: lists}
	return p.retry(ctx, next)
}

// retry attempts the change until its outcome is known. Once the response to a write was lost, the outcome stays uncertain even if the table is
// unavailable to all later attempts.
func (p *Publisher) retry(ctx context.Context, next *Accepted) (Result, error) {
	uncertain := false
	var lastErr error
	for attempt := 0; attempt < putAttempts; attempt++ {
		result, written, err := p.attempt(ctx, next)
		if err == nil && result.Accepted != nil {
			return result, nil
		}
		if err != nil && !isTableFailure(err) {
			return Result{}, err
		}
		uncertain = uncertain || (written && !errors.Is(err, platform.ErrUnavailable))
		lastErr = err
		if err == nil {
			continue // another change was written between the read and the write; the next read resolves the outcome
		}
		select {
		case <-ctx.Done():
			return Result{}, undecidedError(uncertain, ctx.Err())
		case <-p.clk.After(putRetryDelay):
		}
	}
	return Result{}, undecidedError(uncertain, lastErr)
}

func isTableFailure(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain)
}

// undecidedError returns the error of a Put without a known outcome: ErrUncertain if a write may have taken effect, else ErrUnavailable.
func undecidedError(uncertain bool, cause error) error {
	if uncertain {
		return errors.Wrapf(platform.ErrUncertain, "put lists: %v", cause)
	}
	return errors.Wrapf(platform.ErrUnavailable, "put lists: %v", cause)
}

// attempt reads and, if the change is still possible, writes once. Written reports whether a write was sent that may have taken effect. A zero
// Result without an error means that another write was committed first.
func (p *Publisher) attempt(ctx context.Context, next *Accepted) (result Result, written bool, err error) {
	readVersion := next.Version - 1
	rows, err := freshRows(ctx, p.table, 0, versionKey(readVersion), versionKey(next.Version))
	if err != nil {
		return Result{}, false, err
	}
	current, err := p.latestVersion(versionAt(rows, RowCurrent))
	if err != nil {
		return Result{}, false, err
	}
	if versionOrZero(current) != readVersion {
		result, err := p.resolveOutdated(next, current, rows)
		return result, false, err
	}
	committed, err := writeVersion(ctx, p.table, rows[RowCurrent].Version, next)
	if err != nil || !committed {
		return Result{}, err != nil, err
	}
	_, err = p.holder.Advance(next)
	return Result{Accepted: next}, true, err
}

// latestVersion returns the later of the stored version and the version in force on this host. The latter is later only if the table lost rows;
// numbering then continues after the version in force, so that hosts accept the next change.
func (p *Publisher) latestVersion(stored *Accepted, err error) (*Accepted, error) {
	if err != nil {
		return nil, err
	}
	if inForce := p.holder.Current(); inForce != nil && inForce.Version > versionOrZero(stored) {
		return inForce.Accepted, nil
	}
	if stored != nil {
		if _, err := p.holder.Advance(stored); err != nil {
			return nil, err
		}
	}
	return stored, nil
}

// resolveOutdated returns the outcome of a change whose ReadVersion is not current: an earlier attempt made it, it conflicts, or this can no longer
// be determined.
func (p *Publisher) resolveOutdated(next, current *Accepted, rows map[string]api.TableRow) (Result, error) {
	readVersion := next.Version - 1
	existing, err := versionAt(rows, versionKey(next.Version))
	if err != nil {
		return Result{}, err
	}
	if existing != nil && existing.RequestID == next.RequestID {
		if existing.Hash != next.Hash {
			return Result{}, errors.Wrapf(ErrRequestIDReused, "version %d by %s", existing.Version, existing.Author)
		}
		return Result{Accepted: existing, Repeated: true}, nil
	}
	if existing == nil && versionOrZero(current) > readVersion {
		// The row that an earlier attempt would have written is no longer kept.
		return Result{}, errors.Wrapf(ErrTooOld, "version %d is too far behind version %d", readVersion, versionOrZero(current))
	}
	conflict := &Conflict{ReadVersion: readVersion, Current: current}
	base, err := versionAt(rows, versionKey(readVersion))
	if err != nil {
		return Result{}, err
	}
	if current != nil && (base != nil || readVersion == 0) {
		conflict.Complete = true
		conflict.Changes = Diff(listsOrEmpty(base), current.Lists)
	}
	return Result{}, conflict
}
