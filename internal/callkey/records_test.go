package callkey

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/member"
	"samphirewell/internal/outcome"
)

// singleHostState is the state of a host that is alone in its domain and has acted since the start.
func singleHostState(start, now time.Time) member.State {
	c := member.NewCore(api.HostIdentity{ID: "h", Incarnation: 1}, "a", start, member.Rules{})
	c.Tick(start.Add(member.LeaseEnd))
	return c.State(now)
}

// owner is a key owner that is alone in its domain, with a clock that the test sets.
type owner struct {
	records *Records
	start   time.Time
	now     time.Time
}

func newOwner(limit int) *owner {
	start := time.Unix(1000, 0)
	return &owner{records: NewRecords(limit, Rules{}), start: start, now: start.Add(time.Hour)}
}

func (o *owner) claim(key, id string, attempt int, age time.Duration) api.KeyClaimResponse {
	st := singleHostState(o.start, o.now)
	resp, _ := o.records.Claim(o.now, st, api.KeyClaimRequest{
		Team: "t", Key: key, ClaimID: id, ViewID: st.View.ID, Attempt: attempt,
		FirstAttemptAgeMS: int(age / time.Millisecond), DeadlineMS: 1000,
	}, "")
	return resp
}

func (o *owner) finish(key, id string, out outcome.Outcome) bool {
	return o.records.Finish(o.now, api.KeyFinishRequest{Team: "t", Key: key, ClaimID: id, Outcome: encode(out)})
}

// Guards against decisions of the key owner that let a call run again or that do not return the outcome of a finished one.
func TestClaimDecisions(t *testing.T) {
	granted, unknown := api.KeyClaimResponseDecisionGranted, api.KeyClaimResponseDecisionUnknown
	o := newOwner(100)
	must.Eq(t, granted, o.claim("k", "1", 1, 0).Decision)
	must.Eq(t, granted, o.claim("k", "1", 1, 0).Decision, must.Sprint("a duplicate of the same claim"))
	must.Eq(t, api.KeyClaimResponseDecisionInProgress, o.claim("k", "2", 2, time.Second).Decision)
	o.now = o.now.Add(1001 * time.Millisecond)
	must.Eq(t, unknown, o.claim("k", "3", 2, time.Second).Decision, must.Sprint("past the deadline of the call"))
	must.False(t, o.finish("k", "2", outcome.Answer(200, nil)), must.Sprint("another claim"))
	must.True(t, o.finish("k", "1", outcome.Answer(200, []byte("x"))))
	must.Eq(t, outcome.Answer(200, []byte("x")), decode(o.claim("k", "4", 2, time.Second).Outcome))
	must.Eq(t, granted, o.claim("young", "5", 2, time.Minute).Decision)
	must.Eq(t, unknown, o.claim("old", "6", 2, RecordTTL-MaxTransit).Decision)

	must.Eq(t, granted, o.claim("big", "7", 1, 0).Decision)
	must.True(t, o.finish("big", "7", outcome.Answer(200, []byte(strings.Repeat("x", MaxResponseBytes+1)))))
	must.Eq(t, outcome.AnswerNotKept, decode(o.claim("big", "8", 2, time.Second).Outcome).Reason)
}

// Guards against a release that ends the claim of another attempt, and against a claim that is granted although it arrives after its
// own release.
func TestReleaseConcernsOnlyItsClaim(t *testing.T) {
	o := newOwner(100)
	notRun := outcome.Refuse(outcome.NotStarted, 0)
	must.False(t, o.finish("k", "1", notRun))
	must.Eq(t, api.KeyClaimResponseDecisionRefused, o.claim("k", "1", 1, 0).Decision, must.Sprint("claim after its release"))
	must.Eq(t, api.KeyClaimResponseDecisionGranted, o.claim("k", "2", 2, time.Second).Decision)
	must.False(t, o.finish("k", "1", notRun))
	must.Eq(t, api.KeyClaimResponseDecisionInProgress, o.claim("k", "3", 2, time.Second).Decision)
	must.True(t, o.finish("k", "2", notRun))
	must.Eq(t, api.KeyClaimResponseDecisionGranted, o.claim("k", "3", 2, time.Second).Decision)
}

// Guards against records without a limit on their number, and against a second run of a key whose record was evicted.
func TestFullRecordsMoveTheHorizon(t *testing.T) {
	o := newOwner(10)
	for i := range 10 {
		must.Eq(t, api.KeyClaimResponseDecisionGranted, o.claim(fmt.Sprint(i), fmt.Sprint(i), 1, 0).Decision)
	}
	must.Eq(t, outcome.QueueFull, decode(o.claim("x", "x", 1, 0).Outcome).Reason, must.Sprint("all records changed within MaxTransit"))
	o.now = o.now.Add(MaxTransit + time.Second)
	must.Eq(t, api.KeyClaimResponseDecisionGranted, o.claim("x", "x", 1, 0).Decision)
	must.Eq(t, 10, o.records.Len())
	must.Eq(t, api.KeyClaimResponseDecisionUnknown, o.claim("0", "y", 2, MaxTransit+time.Second).Decision)
}

// Guards against stored response bodies without a limit on their total size.
func TestStoredBytesAreBounded(t *testing.T) {
	o := newOwner(MaxRecords)
	body := []byte(strings.Repeat("x", MaxResponseBytes))
	for i := range MaxStoredBytes/MaxResponseBytes + 2 {
		o.claim(fmt.Sprint(i), "c", 1, 0)
		must.True(t, o.finish(fmt.Sprint(i), "c", outcome.Answer(200, body)))
	}
	must.LessEq(t, MaxStoredBytes, o.records.bodyBytes)
	must.Eq(t, outcome.AnswerNotKept, decode(o.claim("0", "d", 2, 0).Outcome).Reason)
	must.Eq(t, outcome.Answered, decode(o.claim("2", "d", 2, 0).Outcome).Kind)
}
