package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

const (
	lossSpell   = 2900 * time.Millisecond // for which answers of the store are lost
	storeLate   = 6 * time.Second         // after which these transactions are carried out
	patience    = time.Second             // of the client that hands the job in
	cancelBound = 3 * time.Second         // cancel_ms
)

// playUnwanted hands in a job. The store gives no answer to the transactions with it and carries them out late. The client leaves after 1 s and cancels the
// job, and is told that there is none.
// UNASKED: a host in touch starts a work item later than cancel_ms after the job's cancelling was acknowledged.
func playUnwanted(w *world, trouble bool) string {
	const job = "00000000000000ee"
	if trouble {
		w.platform.begin(job, storeLate)
		time.AfterFunc(lossSpell, w.platform.end)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+w.hosts[0].callers+"/recon/"+job, bytes.NewReader([]byte(jobBody("done:4000", `"Count":1,"Cpu":15000,"MemMb":44000,"Gpu":1,"EstimateMs":4000`))))
	if err != nil {
		fatal("request", err)
	}
	r.Host = queueHost
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: patience}
	if resp, err := client.Do(r); err != nil {
		w.log("client: POST /recon/%s at host 0: no answer, the client leaves", job)
	} else {
		w.log("client: POST /recon/%s at host 0: %d", job, resp.StatusCode)
		_ = resp.Body.Close()
	}
	status, _ := w.call(1, http.MethodDelete, "/recon/"+job, "")
	acknowledged := time.Now()
	w.log("client: DELETE /recon/%s at host 1: %d", job, status)
	if status != http.StatusOK && status != http.StatusGone {
		return ""
	}
	time.Sleep(14 * time.Second)
	w.log("client: the job is %s", w.state(1, "/recon/"+job))
	for _, r := range w.history.of(job) {
		if after := r.from.Sub(acknowledged); after > cancelBound {
			return fmt.Sprintf("UNASKED: %s begins on %s %.1f s after its cancelling was acknowledged with %d; it ended as %s", r.task, r.executor, after.Seconds(), status, r.how)
		}
	}
	return ""
}
