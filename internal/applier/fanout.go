package applier

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

const (
	// maxLateResponses is the number of late responses that are queued for the next step. Further ones are dropped, and the commands are repeated.
	maxLateResponses = 4096
	// maxUnanswered bounds the unanswered commands to one worker, so that commands to a hung worker do not accumulate.
	maxUnanswered = 4
)

var (
	errNotSent    = errors.New("command not sent: this host has no authority, the lease time is used up, or the worker has too many unanswered commands")
	errNoResponse = errors.New("worker has not responded yet")
)

// response is the outcome of one command to one worker: the value that the worker returned, or an error.
type response[T any] struct {
	value T
	sent  time.Time // taken right before the command was sent; the response describes this time or a later one
	err   error
}

// command is one request to one worker. The response is handled on the goroutine of Step.
type command[T any] struct {
	to     *worker
	send   func(ctx context.Context, w api.HostEntry) (T, error)
	handle func(response[T])
}

// sendAll sends the commands concurrently and handles the responses. It returns when all awaited commands have a response, or after
// Settings.CommandWait. Commands without a response by then are handled with errNoResponse and, if keepLate is set, again when the response
// arrives. With keepLate, commands to workers that did not respond to their previous command are not awaited.
func sendAll[T any](ctx context.Context, c *Controller, cmds []command[T], keepLate bool) {
	slices.SortStableFunc(cmds, func(a, b command[T]) int { return cmp.Compare(a.to.entry.ID, b.to.entry.ID) })
	if c.cfg.Concurrency == 1 {
		for _, cmd := range cmds {
			cmd.handleResponse(cmd.perform(ctx, c, c.stepStart, c.leaderSince, cmd.to.entry))
		}
		return
	}
	r := &sendRound[T]{
		c: c, cmds: cmds, responses: make(chan indexedResponse[T], len(cmds)), unanswered: make([]bool, len(cmds)), awaited: make([]bool, len(cmds)),
	}
	for i := range cmds {
		r.launch(ctx, i, keepLate)
	}
	r.collect()
	r.handleUnanswered(keepLate)
}

func (cmd *command[T]) handleResponse(r response[T]) {
	cmd.to.recordOutcome(r.err, r.sent)
	cmd.handle(r)
}

// perform sends the command unless the host has lost its authority.
func (cmd *command[T]) perform(ctx context.Context, c *Controller, stepStart, leaderSince time.Time, to api.HostEntry) response[T] {
	if !c.hasAuthoritySince(stepStart, leaderSince) {
		return response[T]{err: errNotSent}
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	r := response[T]{sent: c.now()}
	r.value, r.err = cmd.send(ctx, to)
	c.vars.Add("commands_sent", 1)
	if r.err != nil {
		c.vars.Add("commands_failed", 1)
	}
	return r
}

// indexedResponse is a response with the index of its command.
type indexedResponse[T any] struct {
	index    int
	response response[T]
}

// sendRound is the state of one call of sendAll.
type sendRound[T any] struct {
	c          *Controller
	cmds       []command[T]
	responses  chan indexedResponse[T] // buffered for all responses, so that no sender blocks
	unanswered []bool                  // by command: whether there is no response so far
	awaited    []bool                  // by command: whether the step waits for the response
	pending    int                     // number of awaited commands without a response
}

// launch sends one command on its own goroutine. Commands that are not awaited use no slot, so that unresponsive workers do
// not delay the others.
func (r *sendRound[T]) launch(ctx context.Context, i int, keepLate bool) {
	c, cmd := r.c, &r.cmds[i]
	if cmd.to.outstanding.Load() >= maxUnanswered {
		cmd.handleResponse(response[T]{err: errNotSent})
		return
	}
	r.unanswered[i], r.awaited[i] = true, cmd.to.failures == 0 || !keepLate
	if r.awaited[i] {
		r.pending++
	}
	cmd.to.outstanding.Add(1)
	stepStart, leaderSince, entry, awaited := c.stepStart, c.leaderSince, cmd.to.entry, r.awaited[i]
	go func() {
		defer cmd.to.outstanding.Add(-1)
		if awaited {
			c.sendSlots <- struct{}{}
			defer func() { <-c.sendSlots }()
		}
		r.responses <- indexedResponse[T]{i, cmd.perform(ctx, c, stepStart, leaderSince, entry)}
	}()
}

// collect handles responses until all awaited ones have arrived or Settings.CommandWait has passed.
func (r *sendRound[T]) collect() {
	timeout := r.c.deps.Clock.After(r.c.cfg.CommandWait)
	for r.pending > 0 {
		select {
		case in := <-r.responses:
			r.unanswered[in.index] = false
			if r.awaited[in.index] {
				r.pending--
			}
			r.cmds[in.index].handleResponse(in.response)
		case <-timeout:
			return
		}
	}
}

// handleUnanswered handles the commands without a response and, with keepLate, queues their late responses for the next step.
func (r *sendRound[T]) handleUnanswered(keepLate bool) {
	late, leaderSince := 0, r.c.leaderSince
	for i := range r.cmds {
		if r.unanswered[i] {
			late++
			if r.awaited[i] {
				r.cmds[i].to.failures++
			}
			r.cmds[i].handle(response[T]{err: errNoResponse})
		}
	}
	if late == 0 || !keepLate {
		return
	}
	go func() {
		for range late {
			in := <-r.responses
			r.c.queueLateResponse(func() { r.cmds[in.index].handleResponse(in.response) }, leaderSince)
		}
	}()
}

// queueLateResponse queues the handler of a late response. The next step runs it unless the leadership has changed since the command was sent.
func (c *Controller) queueLateResponse(handle func(), leaderSince time.Time) {
	f := func() {
		if c.leaderSince.Equal(leaderSince) {
			handle()
		}
	}
	select {
	case c.lateResponses <- f:
	default:
	}
}

func (c *Controller) handleLateResponses() {
	for {
		select {
		case f := <-c.lateResponses:
			f()
		default:
			return
		}
	}
}
