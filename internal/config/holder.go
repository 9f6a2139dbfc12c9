package config

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

// ErrDivergent means that two different texts have the same version number. The conditional write of the table prevents this.
var ErrDivergent = errors.New("two contents carry the same configuration version")

// Snapshot is a version in force with an index of plans by team. It is immutable and may be read without locks.
type Snapshot struct {
	*Accepted
	plans map[string]*api.Plan // by team name
}

// Plan returns the plan of a team, or nil if the lists do not name the team. The result must not be changed.
func (s *Snapshot) Plan(team string) *api.Plan { return s.plans[team] }

func newSnapshot(a *Accepted) *Snapshot {
	byName := make(map[string]*api.Plan, len(a.Lists.Plans))
	for i := range a.Lists.Plans {
		byName[a.Lists.Plans[i].Name] = &a.Lists.Plans[i]
	}
	plans := make(map[string]*api.Plan, len(a.Lists.Teams))
	for _, team := range a.Lists.Teams {
		plans[team.Name] = byName[team.Plan]
	}
	return &Snapshot{Accepted: a, plans: plans}
}

// Holder holds the version in force on this host. Reads are wait-free; the version number only increases. The zero value holds no version.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the version in force, or nil if there is none.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Version returns the number of the version in force, or 0 if there is none.
func (h *Holder) Version() int {
	if s := h.current.Load(); s != nil {
		return s.Version
	}
	return 0
}

// Advance puts a newer version in force and reports whether it did. An older or equal version changes nothing. The
// error is ErrDivergent, wrapped, if the version in force has the same number and a different hash.
func (h *Holder) Advance(a *Accepted) (bool, error) {
	next := newSnapshot(a)
	for {
		old := h.current.Load()
		if old != nil && old.Version >= a.Version {
			if old.Version == a.Version && old.Hash != a.Hash {
				return false, errors.Wrapf(ErrDivergent, "version %d", a.Version)
			}
			return false, nil
		}
		if h.current.CompareAndSwap(old, next) {
			return true, nil
		}
	}
}
