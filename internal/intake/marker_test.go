package intake

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

// countingStore counts the calls by kind.
type countingStore struct {
	rowstore.Store
	commits, scans int
}

// Commit implements rowstore.Store.
func (s *countingStore) Commit(ctx context.Context, tx rowstore.Tx) (rowstore.TxResult, error) {
	s.commits++
	return s.Store.Commit(ctx, tx)
}

// Scan implements rowstore.Store.
func (s *countingStore) Scan(ctx context.Context, table, partition string, r rowstore.Range) (rowstore.ScanResult, error) {
	s.scans++
	return s.Store.Scan(ctx, table, partition, r)
}

// twoTeams returns an intake of a host that knows the teams red (key "key") and blue (key "blue's").
func twoTeams(s rowstore.Store) *Intake {
	in := newIntake(s)
	p := testPolicy(2)
	p.Teams = append(p.Teams, batch.Team{Name: "blue", Keys: []string{"blue's"}})
	in.SetPolicy(p.Index())
	return in
}

func blueCall(path string) Call {
	c := call(path)
	c.Key = "blue's"
	return c
}

func cancelJob(in *Intake, c Call) Reply { return in.Cancel(context.Background(), c) }

// storedRows returns the numbers of stored jobs and of cancel markers.
func storedRows(t must.T, s rowstore.Store) (jobs, markers int) {
	rows, _, err := rowstore.ScanAll(context.Background(), s, TableInbox, InboxPartitions())
	must.NoError(t, err)
	for _, r := range rows {
		e, err := DecodeEntry(r)
		must.NoError(t, err)
		switch {
		case e.Marker:
			markers++
		case !e.Cancel:
			jobs++
		}
	}
	return jobs, markers
}

// submitWithoutResponse submits a job whose transactions the store carries out late.
func submitWithoutResponse(t *testing.T, s *memstore.Store, in *Intake) {
	s.SetFault(func(kind string) memstore.Fault {
		if kind == "commit" {
			return memstore.Delay
		}
		return memstore.None
	})
	c := call("/q/" + testID)
	c.Deadline = time.Now().Add(300 * time.Millisecond)
	must.Eq(t, Uncertain, submit(in, c).Code)
	s.SetFault(nil)
}

// Guards against a job that runs after its caller was told that there is none (review/12): the store carried out the submission after the cancelling. It holds
// at every host, and after the hosts that took the submission and the cancelling are lost.
func TestCancelledSubmissionTakesNoEffectLate(t *testing.T) {
	s := memstore.New()
	submitWithoutResponse(t, s, newIntake(s))
	must.Eq(t, NoJob, cancelJob(newIntake(s), call("/q/"+testID)).Code)
	must.Zero(t, s.ApplyDelayed())
	for range 2 { // a copy of the submission that comes late, at another host
		r := submit(newIntake(s), call("/q/"+testID))
		must.Eq(t, Reply{Code: Unavailable, Reason: "cancelled", RetryAfter: markerRetention}, r)
	}
	must.Eq(t, NoJob, newIntake(s).State(context.Background(), call("/q/"+testID)).Code)
	jobs, markers := storedRows(t, s)
	must.Eq(t, 0, jobs)
	must.Eq(t, 1, markers)
}

// Guards against a cancelling that is lost because the submission took effect just before it, or that stores something for a job that has ended.
func TestCancelOfASubmissionThatTookEffect(t *testing.T) {
	s := memstore.New()
	submitWithoutResponse(t, s, newIntake(s))
	must.Eq(t, 1, s.ApplyDelayed())
	must.Eq(t, Reply{Code: OK, Reason: "stored"}, cancelJob(newIntake(s), call("/q/"+testID)))
	tx, err := EndJob(testID, "q")
	must.NoError(t, err)
	_, err = s.Commit(context.Background(), tx)
	must.NoError(t, err)
	must.Eq(t, Reply{Code: OK, Reason: "ended"}, cancelJob(newIntake(s), call("/q/"+testID)))
	must.Eq(t, Reply{Code: NoJob, Reason: "other_queue"}, cancelJob(newIntake(s), call("/q/deep/"+testID)))
	rows, _, err := rowstore.ScanAll(context.Background(), s, TableInbox, InboxPartitions())
	must.NoError(t, err)
	must.SliceLen(t, 1, rows, must.Sprint("the tombstone"))
}

// Guards against markers that refuse a job that another team hands in under the same id, or slow it by another call of the store.
func TestMarkersDoNotConcernOtherSubmissions(t *testing.T) {
	s := &countingStore{Store: memstore.New()}
	in := twoTeams(s)
	for _, path := range []string{"/q/", "/open/"} {
		must.Eq(t, NoJob, cancelJob(in, call(path+testID)).Code)
	}
	for name, c := range map[string]Call{"0": blueCall("/q/" + testID), "1": call("/q/deep/" + testID[:15] + "0"), "2": blueCall("/open/" + testID[:15] + "2")} {
		if name == "1" {
			must.Eq(t, NoJob, cancelJob(in, call("/q/"+testID[:15]+"0")).Code)
		}
		s.commits, s.scans = 0, 0
		must.Eq(t, Reply{Code: OK, Reason: "stored"}, submit(in, c), must.Sprint(name))
		must.Eq(t, 1, s.commits)
		must.Zero(t, s.scans)
	}
}

// Guards against calls of the store that a cancelling doesn't need.
func TestCallsOfACancel(t *testing.T) {
	s := &countingStore{Store: memstore.New()}
	in := newIntake(s)
	known, ended, inInbox := testID[:15]+"1", testID[:15]+"2", testID[:15]+"3"
	in.States().Reset([]rowstore.Row{state(known, `{"q":"q","s":"running"}`), state(ended, `{"q":"q","s":"completed"}`)})
	must.Eq(t, OK, submit(in, call("/q/"+inInbox)).Code)
	for _, c := range []struct {
		path           string
		want           Code
		commits, scans int
	}{
		{"/q/" + known, OK, 1, 0},
		{"/q/" + ended, OK, 0, 0},
		{"/q/" + inInbox, OK, 2, 0},
		{"/q/" + testID, NoJob, 1, 0},
		{"/open/" + known, NoJob, 0, 0},
		{"/q/not/an/id", NoJob, 0, 0},
	} {
		s.commits, s.scans = 0, 0
		must.Eq(t, c.want, cancelJob(in, call(c.path)).Code, must.Sprint(c.path))
		must.Eq(t, c.commits, s.commits, must.Sprint(c.path))
		must.Eq(t, c.scans, s.scans, must.Sprint(c.path))
	}
}

// Guards against a table that a client fills by cancelling jobs that never were, and against a client that keeps others from cancelling or from handing in.
func TestMarkersOfAHostAreBounded(t *testing.T) {
	s := memstore.New()
	in := twoTeams(s)
	now := time.Now()
	in.now = func() time.Time { return now }
	must.Eq(t, OK, submit(in, call("/q/"+testID)).Code)
	refused := 0
	for i := range 10 * maxMarkers {
		if r := cancelJob(in, call(fmt.Sprintf("/q/%016x", i))); r.Code == Unavailable {
			must.Eq(t, markerRetryAfter, r.RetryAfter)
			refused++
		}
	}
	must.Positive(t, refused)
	_, markers := storedRows(t, s)
	must.Eq(t, maxMarkers/2, markers, must.Sprint("one team gets half"))
	must.Eq(t, NoJob, cancelJob(in, blueCall("/q/00000000000000aa")).Code, must.Sprint("another team"))
	must.Eq(t, OK, cancelJob(in, call("/q/"+testID)).Code, must.Sprint("a job that is stored"))
	must.Eq(t, OK, submit(in, blueCall("/q/00000000000000bb")).Code)
	for i := range 10 * maxMarkers {
		cancelJob(in, blueCall(fmt.Sprintf("/q/1%015x", i)))
	}
	_, markers = storedRows(t, s)
	must.LessEq(t, maxMarkers, markers)
	now = now.Add(markerRetention)
	must.Eq(t, NoJob, cancelJob(in, call("/q/00000000000000cc")).Code)
	must.MapLen(t, 1, in.markers.byTeam)
}

// Guards against markers that stay for ever, also under leaders that change all the time, and against the deletion of one that was written again.
func TestMarkersEnd(t *testing.T) {
	s := memstore.New()
	in := newIntake(s)
	read := func() []rowstore.Row {
		rows, _, err := rowstore.ScanAll(context.Background(), s, TableInbox, InboxPartitions())
		must.NoError(t, err)
		return rows
	}
	for i := range maxMarkers/2 - 1 {
		must.Eq(t, NoJob, cancelJob(in, call(fmt.Sprintf("/q/%016x", i))).Code)
	}
	m, written := NewMarkers(), time.Now().UnixMilli()
	m.Reset(read(), 0)
	must.Eq(t, maxMarkers/2-1, m.Len())
	must.SliceEmpty(t, m.Expired(markerRetention-1, written))
	must.Eq(t, NoJob, cancelJob(in, call(fmt.Sprintf("/q/%016x", 0))).Code, must.Sprint("written again"))
	for range 2 { // the second time after the list knows the new version
		for _, tx := range m.Expired(markerRetention, written) {
			must.LessEq(t, rowstore.MaxTxRows, len(tx.Conditions)+len(tx.Removes))
			_, err := s.Commit(context.Background(), tx)
			must.NoError(t, err)
		}
		m.Reset(read(), markerRetention)
	}
	must.Eq(t, 1, m.Len())
	must.SliceLen(t, 1, m.Expired(2*markerRetention, written))
	next := NewMarkers()
	next.Apply(read(), 0)
	must.SliceEmpty(t, next.Expired(0, written))
	must.SliceLen(t, 1, next.Expired(0, written+maxMarkerAge.Milliseconds()+1000), must.Sprint("a new leader that has just seen it"))
	next.Apply([]rowstore.Row{{Key: read()[0].Key, Deleted: true}}, 0)
	must.Zero(t, next.Len())
}

// Guards against a submission that a suspended host sends when the marker of its cancelling is gone.
func TestOldSubmissionIsNotSent(t *testing.T) {
	s := memstore.New()
	in := newIntake(s)
	sinceBoot := time.Hour
	in.sinceBoot = func() time.Duration { return sinceBoot }
	r := in.Submit(context.Background(), call("/q/"+testID), func() (batch.Job, error) {
		sinceBoot += submissionLifetime
		return oneTask()
	})
	must.Eq(t, Unavailable, r.Code)
	must.Less(t, markerRetention, submissionLifetime)
	jobs, _ := storedRows(t, s)
	must.Zero(t, jobs)
}

// Guards against any order of submissions, cancellings at any host and late transactions in which a job takes effect after its cancelling was acknowledged.
func TestNoJobTakesEffectAfterItsCancelling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := memstore.New()
		hosts := []*Intake{twoTeams(s), twoTeams(s), twoTeams(s)}
		cancelled := map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "length") {
			in := rapid.SampledFrom(hosts).Draw(t, "host")
			id := rapid.SampledFrom([]string{testID, "00000000000000aa"}).Draw(t, "id")
			fault := rapid.SampledFrom([]memstore.Fault{memstore.None, memstore.Delay, memstore.LoseResponse, memstore.LoseRequest, memstore.Refuse}).Draw(t, "fault")
			s.SetFault(func(string) memstore.Fault { return fault })
			c := call("/q/" + id)
			c.Deadline = time.Now().Add(responseReserve + time.Millisecond) // one attempt
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				submit(in, c)
			case 1:
				r := cancelJob(in, c)
				cancelled[id] = cancelled[id] || r.Code == OK || r.Code == NoJob
			case 2:
				s.ApplyDelayed()
			}
		}
		s.SetFault(nil)
		s.ApplyDelayed()
		mustHaveNoLiveJob(t, s, cancelled)
	})
}

// mustHaveNoLiveJob checks that each stored job that was cancelled has a cancel request.
func mustHaveNoLiveJob(t must.T, s rowstore.Store, cancelled map[string]bool) {
	rows, _, err := rowstore.ScanAll(context.Background(), s, TableInbox, InboxPartitions())
	must.NoError(t, err)
	jobs, requests := map[string]bool{}, map[string]bool{}
	for _, r := range rows {
		e, err := DecodeEntry(r)
		must.NoError(t, err)
		jobs[e.ID] = jobs[e.ID] || !e.Cancel && !e.Marker
		requests[e.ID] = requests[e.ID] || e.Cancel
	}
	for id := range cancelled {
		must.False(t, cancelled[id] && jobs[id] && !requests[id], must.Sprintf("job %s takes effect although its cancelling was acknowledged", id))
	}
}
