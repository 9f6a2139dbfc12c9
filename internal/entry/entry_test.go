package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/client"
	"samphirewell/internal/clock"
	"samphirewell/internal/config"
	"samphirewell/internal/jobs"
	"samphirewell/internal/outcome"
	"samphirewell/internal/platform"
	"samphirewell/internal/standin"
	"samphirewell/internal/standin/lease"
	"samphirewell/internal/wire"
)

const testLists = `{
  "failureDomains": ["a", "b"],
  "policy": {"completionWeight": 3, "fragmentationWeight": 1},
  "teams": [{"name": "counter", "plan": "large"}],
  "plans": [{"name": "large", "services": ["order-desk"], "callsPerSecond": 1000, "burstCalls": 1000, "concurrentCalls": 500,
    "weight": 1, "acceleratorLimit": 64, "guarantees": []}]
}`

// deployment is a small system on loopback: a platform stand-in, entry hosts in two failure domains and executors.
type deployment struct {
	platform  *standin.Platform
	hosts     []*Host
	executors []*standin.Executor
}

func deploy(t *testing.T, hostsPerDomain int) *deployment {
	t.Helper()
	d := &deployment{}
	var err error
	d.platform, err = standin.StartPlatform(standin.PlatformConfig{})
	must.NoError(t, err)
	t.Cleanup(d.platform.Close)
	for _, domain := range []string{"a", "b"} {
		for i := range 2 {
			e, err := standin.StartExecutor(standin.ExecutorConfig{ID: fmt.Sprintf("x-%s%d", domain, i), Service: "order-desk", FailureDomain: domain})
			must.NoError(t, err)
			t.Cleanup(e.Close)
			d.executors = append(d.executors, e)
			d.platform.AddHost(e.Entry())
		}
		for i := range hostsPerDomain {
			d.start(t, fmt.Sprintf("h-%s%d", domain, i), domain)
		}
	}
	return d
}

func (d *deployment) start(t *testing.T, id, domain string) *Host {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	h, err := Start(api.Settings{
		HostID: id, FailureDomain: domain, Region: "r", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		PlatformURL: d.platform.URL(), DrainLagMS: 1,
	}, Deps{Log: log})
	must.NoError(t, err)
	t.Cleanup(h.Kill)
	d.hosts = append(d.hosts, h)
	d.platform.AddHost(api.HostEntry{ID: id, Incarnation: id + "-1", Role: api.HostEntryRoleEntry, FailureDomain: domain, Address: h.PeerAddr()})
	return h
}

func (d *deployment) put(t *testing.T, version int, text string) {
	t.Helper()
	var holder config.Holder
	p := config.NewPublisher(platform.NewClient(d.platform.URL(), platform.ClientOptions{}), &holder, clock.Real{})
	_, err := p.Put(context.Background(), config.Change{ReadVersion: version, Author: "op", RequestID: fmt.Sprint("r", version), Text: text})
	must.NoError(t, err)
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond)), must.Sprint(what))
}

func call(t *testing.T, h *Host, key, attempt, ageMs, body string) (outcomeName, reason, answer string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+h.CallerAddr()+wire.PathCall+"order-desk/price-check", strings.NewReader(body))
	must.NoError(t, err)
	for name, value := range map[string]string{
		wire.HeaderTeam: "counter", wire.HeaderClass: "urgent", wire.HeaderDeadlineMs: "2000", wire.HeaderIdempotencyKey: key,
		wire.HeaderAttempt: attempt, wire.HeaderFirstAttemptAgeMs: ageMs, wire.HeaderRepeatable: "false",
	} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.Header.Get(wire.HeaderOutcome), resp.Header.Get(wire.HeaderReason), string(data)
}

// Guards against a host that serves calls before it has the accepted lists, and against a broken path from caller to executor.
func TestCallIsAnsweredOnceListsAreInForce(t *testing.T) {
	d := deploy(t, 2)
	kind, reason, _ := call(t, d.hosts[0], "k0", "1", "0", "x")
	must.Eq(t, outcome.NotRun.String(), kind)
	must.Eq(t, string(outcome.NoConfig), reason)

	d.put(t, 0, testLists)
	eventually(t, "views and lists", func() bool {
		for _, h := range d.hosts {
			if h.ConfigVersion() != 1 || !h.member.Acting() || len(h.member.View().Members) != 2 {
				return false
			}
		}
		return true
	})
	for i, h := range d.hosts {
		body := fmt.Sprint("strainer ", i)
		var kind, answer string
		// A key owner refuses first attempts as not run until its records of keys reach back far enough.
		eventually(t, "an answer", func() bool {
			kind, _, answer = call(t, h, fmt.Sprint("k", i+1), "1", "0", body)
			return kind != outcome.NotRun.String()
		})
		must.Eq(t, outcome.Answered.String(), kind)
		must.Eq(t, string(standin.ExpectedResponse("order-desk", "price-check", []byte(body))), answer)
	}
	// A retry through the other host of the domain gets the stored answer, and the call runs once.
	_, _, first := call(t, d.hosts[0], "once", "1", "0", "y")
	kind, _, second := call(t, d.hosts[1], "once", "2", "50", "y")
	must.Eq(t, outcome.Answered.String(), kind)
	must.Eq(t, first, second)
	for key, runs := range standin.RunsByKey(d.executors...) {
		must.Len(t, 1, runs, must.Sprint(key))
	}
}

// Guards against a gang that is accepted but never placed, and against a result that does not reach the record of the job.
func TestGangRunsOnWorkersAndEnds(t *testing.T) {
	d := deploy(t, 1)
	for i := range 2 {
		w, err := standin.StartWorker(standin.WorkerConfig{
			Lease:         lease.Config{WorkerID: fmt.Sprint("w", i), Incarnation: "1", Cores: 130, MemoryGB: 500, Accelerators: 8},
			FailureDomain: "a", Rack: "r1",
		})
		must.NoError(t, err)
		t.Cleanup(w.Close)
		d.platform.AddHost(w.Entry())
	}
	d.put(t, 0, testLists)
	c, err := client.New(clock.Real{}, "http://"+d.hosts[0].CallerAddr())
	must.NoError(t, err)
	spec := api.JobSpec{
		SubmissionKey: "night-1", Team: "counter", Kind: "forecast", Class: api.JobSpecClassNormal, Parts: 2, Cores: 8, MemoryGb: 64,
		Accelerators: 8, Adjacency: api.JobSpecAdjacencyRack, DeclaredRunMS: 300, Repeatable: true,
	}
	var job api.JobRecord
	eventually(t, "an accepted submission", func() bool {
		job, err = c.SubmitJob(context.Background(), spec)
		return err == nil
	})
	eventually(t, "the end of the job", func() bool {
		job, err = c.GetJob(context.Background(), spec.Team, job.ID)
		return err == nil && jobs.Ended(job.Phase)
	})
	must.Eq(t, api.JobRecordPhaseSucceeded, job.Phase)
	must.Len(t, 2, job.Placements)
	again, err := c.SubmitJob(context.Background(), spec)
	must.NoError(t, err)
	must.Eq(t, job.ID, again.ID)
	must.Eq(t, api.JobRecordPhaseSucceeded, again.Phase)
}

// Guards against a second shutdown request, by signal or operator, that hangs or returns before the first one has completed.
func TestStopRequestsEndTogether(t *testing.T) {
	d := deploy(t, 1)
	h := d.hosts[0]
	h.Drain()
	must.NoError(t, h.Stop(t.Context()))
	select {
	case <-h.Done():
	default:
		t.Fatal("Stop returned before the host had ended")
	}
	h.Kill()
	must.NoError(t, h.Stop(t.Context()))
	must.False(t, h.Ready())
}
