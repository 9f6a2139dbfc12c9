package batchhost

import (
	"context"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/peer"
)

// adviceTimeout bounds a question that another host puts to the adviser.
const adviceTimeout = 3 * time.Second

// adviceLinks lets other hosts put questions to the adviser.
type adviceLinks struct {
	dispatch.WorkerAPI
	peers Peers
}

// Advise implements dispatch.WorkerAPI.
func (l adviceLinks) Advise(ctx context.Context, q dispatch.AdviceRequest) (dispatch.Advice, error) {
	if q.Via == "" {
		return l.WorkerAPI.Advise(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	var answer api.AdviceAnswer
	if err := l.peers.Call(ctx, q.Via, peer.MethodAdvise, api.AdviceQuestion{Step: q.Step, Workers: q.Workers}, &answer); err != nil {
		return dispatch.Advice{}, err
	}
	a := dispatch.Advice{Tickets: map[string]string{}, Valid: time.Duration(answer.ValidMS) * time.Millisecond}
	for _, t := range answer.Tickets {
		a.Tickets[t.Worker] = t.Ticket
	}
	return a, nil
}

// advise puts a question of the leader to the adviser.
func (h *Host) advise(ctx context.Context, q api.AdviceQuestion) (api.AdviceAnswer, error) {
	a, err := h.options.Links.Advise(ctx, dispatch.AdviceRequest{Step: q.Step, Workers: q.Workers})
	answer := api.AdviceAnswer{Tickets: []api.Ticket{}, ValidMS: int(a.Valid.Milliseconds())}
	for worker, ticket := range a.Tickets {
		answer.Tickets = append(answer.Tickets, api.Ticket{Worker: worker, Ticket: ticket})
	}
	return answer, err
}
