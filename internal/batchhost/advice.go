package batchhost

import (
	"context"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/peer"
)

// adviceTimeout bounds a request to the adviser that goes through another host.
const adviceTimeout = 3 * time.Second

// adviceForwarder is a WorkerAPI that sends a request to the adviser through another host if the request names one.
type adviceForwarder struct {
	dispatch.WorkerAPI
	peers Peers
}

// Advise implements dispatch.WorkerAPI.
func (f adviceForwarder) Advise(ctx context.Context, req dispatch.AdviceRequest) (dispatch.Advice, error) {
	if req.Via == "" {
		return f.WorkerAPI.Advise(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	var answer api.AdviceAnswer
	if err := f.peers.Call(ctx, req.Via, peer.MethodAdvise, api.AdviceQuestion{Step: req.Step, Workers: req.Workers}, &answer); err != nil {
		return dispatch.Advice{}, err
	}
	a := dispatch.Advice{Tickets: map[string]string{}, Valid: time.Duration(answer.ValidMS) * time.Millisecond}
	for _, t := range answer.Tickets {
		a.Tickets[t.Worker] = t.Ticket
	}
	return a, nil
}

// advise forwards a request of the leader, another host, to the adviser.
func (h *Host) advise(ctx context.Context, q api.AdviceQuestion) (api.AdviceAnswer, error) {
	a, err := h.options.WorkerAPI.Advise(ctx, dispatch.AdviceRequest{Step: q.Step, Workers: q.Workers})
	answer := api.AdviceAnswer{Tickets: []api.Ticket{}, ValidMS: int(a.Valid.Milliseconds())}
	for worker, ticket := range a.Tickets {
		answer.Tickets = append(answer.Tickets, api.Ticket{Worker: worker, Ticket: ticket})
	}
	return answer, err
}
