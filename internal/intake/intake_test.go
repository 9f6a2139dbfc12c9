package intake

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

const testID = "5c0e7a21d94b36f8"

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func testPolicy(version int64) *batch.Policy {
	p := &batch.Policy{Version: version, Queues: []batch.Queue{
		{Name: "q", Host: "a.example", Prefix: "/q/", Service: "svc", Attempts: 3},
		{Name: "deep", Host: "a.example", Prefix: "/q/deep/", Service: "svc", Attempts: 3},
		{Name: "open", Host: "a.example", Prefix: "/open/", Service: "svc", Attempts: 3, Public: true}},
		Teams: []batch.Team{{Name: "red", Keys: []string{"key"}}}}
	return p.Index()
}

// unavailableLeader doesn't respond.
type unavailableLeader struct{}

// QueryState implements Leader.
func (unavailableLeader) QueryState(context.Context, string) (string, batch.State, bool) {
	return "", "", false
}

func newIntake(s rowstore.Store) *Intake {
	in := New(s, func() time.Duration { return 0 }, unavailableLeader{}, discardLog())
	in.SetPolicy(testPolicy(1))
	return in
}

func call(path string) Call {
	return Call{Host: "a.example", Path: path, Key: "key", Deadline: time.Now().Add(2 * time.Second)}
}

func oneTask() (batch.Job, error) {
	return batch.Job{Payload: "p", Steps: []batch.Step{{Tasks: 1}}}, nil
}

func submit(in *Intake, c Call) Reply { return in.Submit(context.Background(), c, oneTask) }

// Guards against accepting or refusing a call by the wrong queue or key.
func TestCallsAreCheckedAgainstTheConfiguration(t *testing.T) {
	in := newIntake(memstore.New())
	wrongKey, noKey, wrongHost := call("/q/"+testID), call("/open/"+testID), call("/q/"+testID)
	wrongKey.Key, noKey.Key, wrongHost.Host = "other", "", "b.example"
	must.Eq(t, UnknownKey, submit(in, wrongKey).Code)
	must.Eq(t, NoQueue, submit(in, wrongHost).Code)
	must.Eq(t, NoQueue, submit(in, call("/none/"+testID)).Code)
	must.Eq(t, OK, submit(in, noKey).Code, must.Sprint("a public queue needs no key"))
	must.Eq(t, OK, submit(in, call("/q/"+testID[:15]+"9")).Code)
	must.Eq(t, "deep", mustResolve(t, in, call("/q/deep/"+testID)).queue.Name, must.Sprint("the longest prefix wins"))
	empty := New(memstore.New(), func() time.Duration { return 0 }, unavailableLeader{}, discardLog())
	must.Eq(t, Unavailable, submit(empty, call("/q/"+testID)).Code, must.Sprint("no configuration yet"))
}

func mustResolve(t *testing.T, in *Intake, c Call) target {
	got, refused := in.resolve(c)
	must.Nil(t, refused)
	return got
}

// Guards against going back to an older configuration, and against using one that has not been confirmed for too long: a key may have been revoked.
func TestConfigurationNeverGoesBackAndExpires(t *testing.T) {
	age := time.Duration(0)
	in := New(memstore.New(), func() time.Duration { return age }, unavailableLeader{}, discardLog())
	in.SetPolicy(testPolicy(5))
	in.SetPolicy(testPolicy(4))
	must.Eq(t, int64(5), in.Policy().Version)
	age = maxPolicyAge + time.Second
	r := submit(in, call("/q/"+testID))
	must.Eq(t, Unavailable, r.Code)
	must.Positive(t, r.RetryAfter)
}

// Guards against a second job, or a refusal although the job is stored, when the table's response is lost or its transaction is executed late.
func TestSubmissionWithAFaultOfTheTable(t *testing.T) {
	cases := []struct {
		name   string
		fault  memstore.Fault
		always bool
		want   Code
		stored bool
	}{
		{"refused", memstore.Refuse, true, Unavailable, false},
		{"answer lost", memstore.LoseResponse, false, OK, true},
		{"call lost", memstore.LoseRequest, false, OK, true},
		{"carried out late", memstore.Delay, false, OK, true},
		{"silent", memstore.LoseRequest, true, Uncertain, false},
		{"answers always lost", memstore.LoseResponse, true, Uncertain, true},
	}
	for _, c := range cases {
		s := memstore.New()
		in := newIntake(s)
		n := 0
		s.SetFault(func(kind string) memstore.Fault {
			n++
			if kind == "commit" && (c.always || n == 1) {
				return c.fault
			}
			return memstore.None
		})
		request := call("/q/" + testID)
		request.Deadline = time.Now().Add(400 * time.Millisecond)
		must.Eq(t, c.want, submit(in, request).Code, must.Sprint(c.name))
		s.SetFault(nil)
		s.ApplyDelayed()
		rows, _, err := rowstore.ScanAll(context.Background(), s, TableInbox, InboxPartitions())
		must.NoError(t, err)
		must.Eq(t, c.stored, len(rows) == 1, must.Sprint(c.name))
	}
}

// Guards against reporting a submission as refused after an earlier attempt of the same call may have taken effect.
func TestRefusalAfterAnUnknownTryIsNotFinal(t *testing.T) {
	s := memstore.New()
	in := newIntake(s)
	n := 0
	s.SetFault(func(string) memstore.Fault {
		n++
		if n == 1 {
			return memstore.Delay
		}
		return memstore.Refuse
	})
	request := call("/q/" + testID)
	request.Deadline = time.Now().Add(400 * time.Millisecond)
	must.Eq(t, Uncertain, submit(in, request).Code)
}

// Guards against a job that runs again because its submission is repeated after its end.
func TestRepeatedSubmissionOfAnEndedJob(t *testing.T) {
	s := memstore.New()
	in := newIntake(s)
	must.Eq(t, OK, submit(in, call("/q/"+testID)).Code)
	tx, err := EndJob(testID, "q")
	must.NoError(t, err)
	_, err = s.Commit(context.Background(), tx)
	must.NoError(t, err)
	must.Eq(t, OK, submit(in, call("/q/"+testID)).Code)
	rows, _, err := rowstore.ScanAll(context.Background(), s, TableInbox, InboxPartitions())
	must.NoError(t, err)
	must.Len(t, 1, rows)
	e, err := DecodeEntry(rows[0])
	must.NoError(t, err)
	must.True(t, e.Ended)
	must.Eq(t, Malformed, submit(in, call("/q/deep/"+testID)).Code, must.Sprint("the id belongs to another queue"))
}

func state(id, text string) rowstore.Row {
	return rowstore.Row{Key: rowstore.Key{Table: "states", Key: id}, Value: []byte(text)}
}

// Guards against returning the state of another queue's job, returning a state for a job that doesn't exist, and reporting no such job for an
// accepted job whose state has not reached this host yet.
func TestStateOfJobs(t *testing.T) {
	s := memstore.New()
	in := newIntake(s)
	get := func(path string) Reply { return in.State(context.Background(), call(path)) }
	must.Eq(t, NoJob, get("/q/"+testID).Code)
	must.Eq(t, OK, submit(in, call("/q/"+testID)).Code)
	r := get("/q/" + testID)
	must.Eq(t, OK, r.Code)
	must.Eq(t, batch.Pending, r.State)
	in.States().Reset([]rowstore.Row{state(testID, `{"q":"q","s":"completed"}`), state("leader", `{"host":"h"}`), state("x", "garbage")})
	must.Eq(t, batch.Completed, get("/q/"+testID).State)
	must.Eq(t, NoJob, get("/open/"+testID).Code)
	s.SetFault(func(string) memstore.Fault { return memstore.Refuse })
	must.Eq(t, Unavailable, get("/q/0000000000000000").Code, must.Sprint("it is not known whether the job exists while the table is unavailable"))
	must.Eq(t, batch.Completed, get("/q/"+testID).State, must.Sprint("states in the cache are returned during an outage"))
}

// fixedStateLeader returns a fixed state for the job testID.
type fixedStateLeader struct{ state batch.State }

// QueryState implements Leader.
func (l fixedStateLeader) QueryState(_ context.Context, id string) (string, batch.State, bool) {
	return "q", l.state, id == testID
}

// Guards against a completion that callers see only after an outage of the table, and against returning an older state of the leader for a job whose
// end is stored.
func TestNewestStateOfLeaderAndCacheIsReturned(t *testing.T) {
	in := newIntake(memstore.New())
	in.leader = fixedStateLeader{batch.Completed}
	in.States().Reset([]rowstore.Row{state(testID, `{"q":"q","s":"running"}`)})
	must.Eq(t, batch.Completed, in.State(context.Background(), call("/q/"+testID)).State)
	in.leader = fixedStateLeader{batch.Running}
	in.States().Reset([]rowstore.Row{state(testID, `{"q":"q","s":"failed"}`)})
	must.Eq(t, batch.Failed, in.State(context.Background(), call("/q/"+testID)).State)
}

// Guards against a wrong number of waiting jobs after rows were changed or deleted.
func TestWaitingCountsPendingJobsOfTheQueue(t *testing.T) {
	in := newIntake(memstore.New())
	waiting := func() int { return in.State(context.Background(), call("/q/")).Waiting }
	in.States().Reset([]rowstore.Row{state("a", `{"q":"q","s":"pending"}`), state("b", `{"q":"q","s":"pending"}`),
		state("c", `{"q":"deep","s":"pending"}`), state("d", `{"q":"q","s":"pending","d":true}`)})
	must.Eq(t, 2, waiting())
	in.States().Changed([]rowstore.Row{state("a", `{"q":"q","s":"running"}`)})
	must.Eq(t, 1, waiting())
	deleted := state("b", "")
	deleted.Deleted = true
	in.States().Changed([]rowstore.Row{deleted, deleted})
	must.Eq(t, 0, waiting())
}

// Guards against a cancel request that is acknowledged without being stored, or answered with no such job although the job exists.
func TestCancel(t *testing.T) {
	s := memstore.New()
	in := newIntake(s)
	cancel := func() Reply { return in.Cancel(context.Background(), call("/q/"+testID)) }
	must.Eq(t, NoJob, in.Cancel(context.Background(), call("/q/0000000000000000")).Code)
	must.Eq(t, OK, submit(in, call("/q/"+testID)).Code)
	must.Eq(t, OK, cancel().Code)
	rows, _, err := rowstore.ScanAll(context.Background(), s, TableInbox, InboxPartitions())
	must.NoError(t, err)
	cancels := 0
	for _, r := range rows {
		e, err := DecodeEntry(r)
		must.NoError(t, err)
		if e.Cancel {
			must.Eq(t, testID, e.ID)
			cancels++
		}
	}
	must.Eq(t, 1, cancels)
	s.SetFault(func(kind string) memstore.Fault {
		if kind == "commit" {
			return memstore.Refuse
		}
		return memstore.None
	})
	must.Eq(t, Unavailable, cancel().Code)
}

// Guards against storing malformed submissions.
func TestMalformedSubmissions(t *testing.T) {
	in := newIntake(memstore.New())
	bad := map[string]func() (batch.Job, error){
		"no steps":        func() (batch.Job, error) { return batch.Job{}, nil },
		"no tasks":        func() (batch.Job, error) { return batch.Job{Steps: []batch.Step{{}}}, nil },
		"later step":      func() (batch.Job, error) { return batch.Job{Steps: []batch.Step{{Tasks: 1, After: []int{0}}}}, nil },
		"unreadable body": func() (batch.Job, error) { return batch.Job{}, errors.New("unexpected end") },
	}
	for name, decode := range bad {
		must.Eq(t, Malformed, in.Submit(context.Background(), call("/q/"+testID), decode).Code, must.Sprint(name))
	}
	must.Eq(t, Malformed, submit(in, call("/q/a/b")).Code)
}

// silentLeader responds to no query.
type silentLeader struct{}

// QueryState implements Leader.
func (silentLeader) QueryState(ctx context.Context, _ string) (string, batch.State, bool) {
	<-ctx.Done()
	return "", "", false
}

// Guards against a query without an answer in time because the host waits for a silent leader although it has a copy of the state.
func TestStateIsAnsweredInTimeWhileTheLeaderIsSilent(t *testing.T) {
	in := newIntake(memstore.New())
	in.leader = silentLeader{}
	in.States().Reset([]rowstore.Row{state(testID, `{"q":"q","s":"running"}`)})
	c := call("/q/" + testID)
	c.Deadline = time.Now().Add(300 * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	must.Eq(t, batch.Running, in.State(ctx, c).State)
	must.Greater(t, responseReserve/2, time.Until(c.Deadline), must.Sprint("time left for the response"))
}

// silentOnceStore doesn't respond to the first scan.
type silentOnceStore struct {
	rowstore.Store
	scans int
}

// Scan implements rowstore.Store.
func (s *silentOnceStore) Scan(ctx context.Context, table, partition string, r rowstore.Range) (rowstore.ScanResult, error) {
	s.scans++
	if s.scans == 1 {
		return rowstore.ScanResult{}, rowstore.ErrUncertain
	}
	return s.Store.Scan(ctx, table, partition, r)
}

// Guards against a refused query of an accepted job after one read without a response, although the caller would wait for another read.
func TestStateIsReadAgainWhenTheTableIsSilent(t *testing.T) {
	s := memstore.New()
	in := newIntake(s)
	must.Eq(t, OK, submit(in, call("/q/"+testID)).Code)
	in.store = &silentOnceStore{Store: s}
	must.Eq(t, OK, in.State(context.Background(), call("/q/"+testID)).Code)
}

// Guards against a job whose state would replace the leader row.
func TestJobIDsAreNoKeysOfOtherRows(t *testing.T) {
	for _, id := range []string{"", "leader", "host/a", strings.Repeat("0", 65)} {
		must.False(t, validID(id), must.Sprint(id))
	}
	must.True(t, validID(testID))
}

// Guards against transactions that hold rows of several partitions or more rows than the table accepts, and against jobs without a tombstone.
func TestEndedJobsShareTransactions(t *testing.T) {
	var jobs []EndedJob
	for i := range 3000 {
		jobs = append(jobs, EndedJob{fmt.Sprintf("%016x", i), "q"})
	}
	txs, err := EndJobs(jobs)
	must.NoError(t, err)
	must.Less(t, 3*partitionCount, len(txs))
	s := memstore.New()
	for _, tx := range txs {
		must.LessEq(t, rowstore.MaxTxRows, len(tx.Puts)+len(tx.Removes))
		for _, r := range tx.Puts {
			must.Eq(t, tx.Puts[0].Partition, r.Partition)
			must.Eq(t, partitionOf(r.Key.Key), r.Partition)
		}
		_, err := s.Commit(context.Background(), tx)
		must.NoError(t, err)
	}
	rows, _, err := rowstore.ScanAll(context.Background(), s, TableInbox, InboxPartitions())
	must.NoError(t, err)
	must.SliceLen(t, len(jobs), rows)
}

// Guards against jobs that an earlier version has stored in other partitions and that are never found or never deleted.
func TestMisplacedRowsAreMovedOnce(t *testing.T) {
	s := memstore.New()
	commit := func(tx rowstore.Tx) {
		_, err := s.Commit(context.Background(), tx)
		must.NoError(t, err)
	}
	misplaced := func(key, value string) rowstore.Row {
		partition := (len(partitionOf("x")) + 1) % partitionCount
		for strconv.Itoa(partition) == partitionOf(testID) {
			partition++
		}
		return rowstore.Row{Key: rowstore.Key{Table: TableInbox, Partition: strconv.Itoa(partition), Key: key}, Value: []byte(value)}
	}
	commit(rowstore.Tx{Puts: []rowstore.Row{misplaced(testID, "old"), misplaced(testID+cancelSuffix, "1")}})
	commit(rowstore.Tx{Puts: []rowstore.Row{{Key: cancelKey(testID), Value: []byte("newer")}}})
	rows, _, err := rowstore.ScanAll(context.Background(), s, TableInbox, InboxPartitions())
	must.NoError(t, err)
	moves := MisplacedRows(rows)
	must.SliceLen(t, 2, moves)
	for _, m := range append(moves, moves...) {
		commit(m.Copy)
		commit(m.Remove)
	}
	rows, _, err = rowstore.ScanAll(context.Background(), s, TableInbox, InboxPartitions())
	must.NoError(t, err)
	must.SliceLen(t, 2, rows)
	must.SliceEmpty(t, MisplacedRows(rows))
	for _, r := range rows {
		must.Eq(t, map[string]string{testID: "old", testID + cancelSuffix: "newer"}[r.Key.Key], string(r.Value))
	}
}
