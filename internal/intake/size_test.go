package intake

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

// Guards against a submission that is held until its deadline and answered as uncertain although the store can't take it: a payload or a list of steps that is
// too long, or anything else that the store rejects.
func TestSubmissionThatCannotBeStoredIsRefusedAtOnce(t *testing.T) {
	store := memstore.New()
	commits := 0
	store.SetFault(func(string) memstore.Fault { commits++; return memstore.None })
	in := newIntake(store)
	sized := func(payload, steps int) Reply {
		began := time.Now()
		r := in.Submit(context.Background(), call("/q/"+testID), func() (batch.Job, error) {
			j := batch.Job{Payload: strings.Repeat("x", payload)}
			for range steps {
				j.Steps = append(j.Steps, batch.Step{Tasks: 1, Estimate: time.Hour})
			}
			return j, nil
		})
		must.Less(t, 500*time.Millisecond, time.Since(began))
		return r
	}
	must.Eq(t, Malformed, sized(100_000, 1).Code)
	must.Eq(t, Malformed, sized(10, 3000).Code)
	must.Eq(t, 0, commits, must.Sprint("the store was asked"))
	store.SetRejects(func(rowstore.Row) bool { return true })
	must.Eq(t, Reply{Code: Malformed, Reason: "store_rejected"}, sized(4000, 1))
	store.SetRejects(nil)
	must.Eq(t, OK, sized(4000, 20).Code)
	in.SetMaxRowBytes(2000)
	must.Eq(t, Malformed, sized(4000, 1).Code)
}

// Guards against a rejection that is final although an earlier attempt may have taken effect.
func TestRejectionAfterALostAnswerIsUncertain(t *testing.T) {
	store := memstore.New()
	in := newIntake(store)
	faults := []memstore.Fault{memstore.LoseResponse}
	store.SetFault(func(string) memstore.Fault {
		if len(faults) == 0 {
			return memstore.None
		}
		f := faults[0]
		faults = faults[1:]
		return f
	})
	c := call("/q/" + testID)
	c.Deadline = time.Now().Add(600 * time.Millisecond)
	store.SetRejects(func(rowstore.Row) bool { return len(faults) == 0 })
	must.Eq(t, Uncertain, submit(in, c).Code)
}
