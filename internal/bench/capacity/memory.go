package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/callkey"
	"samphirewell/internal/clock"
	"samphirewell/internal/member"
	"samphirewell/internal/timeline"
)

// measureMemory measures the heap of claim records without stored responses, the heap of events, and their size in the object store.
func measureMemory(ctx context.Context, o Options, r *Report) error {
	for range o.Repeats {
		for _, n := range o.Records {
			bytes, err := recordsHeap(n)
			if err != nil {
				return err
			}
			r.series(groupMemory, "claim records", "B", "records").add(float64(n), float64(bytes))
		}
		for _, n := range o.Events {
			memory, stored, err := eventBytes(ctx, n)
			if err != nil {
				return err
			}
			r.series(groupMemory, "events in memory", "B", "events").add(float64(n), float64(memory))
			r.series(groupMemory, "events in the object store", "B", "events").add(float64(n), float64(stored))
		}
	}
	return nil
}

// recordsHeap returns the heap of n granted claims.
func recordsHeap(n int) (int64, error) {
	start := time.Unix(1000, 0)
	core := member.NewCore(api.HostIdentity{ID: "h", Incarnation: 1}, "d", start, member.Rules{})
	core.Tick(start.Add(member.LeaseEnd))
	now := start.Add(time.Hour)
	state := core.State(now)
	before := heapBytes()
	records := callkey.NewRecords(callkey.MaxRecords, callkey.Rules{})
	for i := range n {
		claim := api.KeyClaimRequest{
			Team: teamName(i % targetTeams), Key: fmt.Sprintf("order-%024d", i), ClaimID: fmt.Sprintf("claim-%024d", i), ViewID: state.View.ID,
			Attempt: 1, DeadlineMS: 1000,
		}
		if got, _ := records.Claim(now, state, claim, ""); got.Decision != api.KeyClaimResponseDecisionGranted {
			return 0, errors.Errorf("claim %d: %s", i, got.Decision)
		}
	}
	bytes := heapBytes() - before
	runtime.KeepAlive(records)
	return bytes, nil
}

// countingObjects is an object store that counts the bytes that are written and discards them.
type countingObjects struct{ bytes int64 }

// Put implements platform.Objects.
func (o *countingObjects) Put(_ context.Context, _ string, data []byte) error {
	o.bytes += int64(len(data))
	return nil
}

// Get implements platform.Objects.
func (o *countingObjects) Get(context.Context, string) ([]byte, error) {
	return nil, errors.New("objects are counted, not stored")
}

// eventBytes returns the heap of a ring buffer with n events and the bytes that the archiver writes for them.
func eventBytes(ctx context.Context, n int) (memory, stored int64, err error) {
	before := heapBytes()
	ring := timeline.NewRing("entry-00", domainName(0), n, clock.Real{})
	for i := range n {
		ring.Record(api.Event{
			Kind: api.EventKindGangStarted, JobID: fmt.Sprintf("%020x", i), Team: teamName(i % targetTeams), Reason: "within_guarantee", Count: 1,
		})
	}
	memory = heapBytes() - before
	var objects countingObjects
	archiver := timeline.NewArchiver(ring, &objects, "timeline/domain-0/entry-00/0")
	for {
		wrote, err := archiver.Flush(ctx)
		if err != nil {
			return 0, 0, err
		}
		if wrote == 0 {
			return memory, objects.bytes, nil
		}
	}
}
