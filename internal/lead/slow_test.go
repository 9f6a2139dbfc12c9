package lead

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/peer"
	"samphirewell/internal/relay"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

// slowStore executes one transaction after the other, each in executionTime. It goes on with one whose caller has given up.
type slowStore struct {
	*memstore.Store
	executionTime time.Duration
	busy          chan struct{}
}

func (s *slowStore) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.TxResult, error) {
	done := make(chan rowstore.TxResult, 1)
	go func() {
		s.busy <- struct{}{}
		time.Sleep(s.executionTime)
		r, _ := s.Store.Commit(context.Background(), tx)
		<-s.busy
		done <- r
	}()
	select {
	case r := <-done:
		return r, nil
	case <-ctx.Done():
		return rowstore.TxResult{}, rowstore.ErrUncertain
	}
}

// otherHosts relay calls to the table.
type otherHosts struct{ methods peer.Registry }

func (h otherHosts) Call(ctx context.Context, _, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := h.methods[method](ctx, api.HostIdentity{}, encoded)
	if err == nil {
		*result.(*api.RelayResult) = answer.(api.RelayResult)
	}
	return err
}

// Guards against a leader whose transactions never get a response on a slow table, because each is given up, and repeated behind itself, before it is executed.
func TestLeaderWritesToASlowTable(t *testing.T) {
	memory := memstore.New()
	table := &slowStore{memory, 650 * time.Millisecond, make(chan struct{}, 1)}
	methods := peer.Registry{}
	relay.Register(methods, table)
	l := claim(t, memory, "a")
	l.store = relay.New(table, otherHosts{methods}, func() []string { return []string{"b", "c", "d", "e", "f", "g", "h", "i"} })
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	for range 3 {
		must.NoError(t, l.Commit(ctx, put("1"), nil))
	}
}
