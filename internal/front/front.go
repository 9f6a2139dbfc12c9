// Package front is the request path of an entry host: the HTTP server for callers, the call pipeline and the connections to the executors.
package front

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
	"samphirewell/internal/registry"
)

const (
	// MaxCallTime is the longest deadline of a call. A longer one is shortened to it.
	MaxCallTime = 10 * time.Second
	// RequestTimeout is the time within which a whole request must arrive after its first byte.
	RequestTimeout = 10 * time.Second
	// IdleTimeout is the time for which a caller's connection may stay idle.
	IdleTimeout = 120 * time.Second
	// DialTimeout bounds the setup of a connection to an executor.
	DialTimeout = time.Second
	// MaxHeaderBytes bounds the header of a request or a response.
	MaxHeaderBytes = 16 << 10
	// MaxConnections bounds the number of callers' connections; further ones are closed immediately.
	MaxConnections = 10000

	defaultMaxBody     = 1 << 20 // bytes
	defaultCallTimeout = 2 * time.Second
	defaultQueue       = 1024 // calls
	defaultSlots       = 8    // concurrent calls per executor
	defaultConnections = 60   // per executor, divided among the entry hosts
	defaultDrainLag    = 2 * time.Second
)

// PlanStatus is the result of the lookup of a team's plan.
type PlanStatus uint8

// Statuses of a plan.
const (
	PlanFound   PlanStatus = iota // the team has a plan
	PlanNoLists                   // the host has not received accepted lists yet
	PlanNoTeam                    // the team is not in the lists
)

// Plans returns the plan of a team from the lists in force.
type Plans interface {
	Plan(team string) (api.Plan, PlanStatus)
}

// Limiter enforces the limits of a plan.
type Limiter interface {
	// Admit returns the function to call when the call ends, or nil and the refusal. It may wait briefly, but not past the deadline.
	Admit(team string, deadline time.Time) (release func(), refusal outcome.Outcome)
}

// KeyClaimer prevents non-repeatable calls from running twice.
type KeyClaimer interface {
	// Claim requests the right to run the call. If it is granted, finish is not nil, and must be called exactly once with the outcome of the
	// call. Otherwise result is final: the stored answer, a refusal or an unknown outcome.
	Claim(ctx context.Context, key string, attempt int, firstAttemptAge time.Duration, deadline time.Time) (finish func(outcome.Outcome), result outcome.Outcome)
}

// Options are the settings and dependencies of a server.
type Options struct {
	Settings api.Settings
	Plans    Plans
	Limiter  Limiter
	Claimer  KeyClaimer
	Registry *registry.Registry
	// Dial opens connections to executors; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Log receives messages about state changes; nil means the standard logger.
	Log logrus.FieldLogger
	// Clock is the time source; nil means the real clock.
	Clock clock.Clock
	// Random returns uniform values and is safe for concurrent use; nil means math/rand/v2.
	Random func() uint64
}

// limits are the settings with defaults filled in.
type limits struct {
	maxBody     int
	callTimeout time.Duration
	queue       int
	slots       int
	connections int
	drainLag    time.Duration
}

func limitsOf(s api.Settings) limits {
	return limits{
		maxBody:     orDefault(s.MaxBodyBytes, defaultMaxBody),
		callTimeout: min(orDefault(time.Duration(s.CallTimeoutMS)*time.Millisecond, defaultCallTimeout), MaxCallTime),
		queue:       orDefault(s.QueueLength, defaultQueue),
		slots:       orDefault(s.SlotsPerExecutor, defaultSlots),
		connections: orDefault(s.ConnectionsPerExecutor, defaultConnections),
		drainLag:    orDefault(time.Duration(s.DrainLagMS)*time.Millisecond, defaultDrainLag),
	}
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}
