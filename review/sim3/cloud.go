package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"samphirewell/internal/rowstore"
)

const (
	upkeepTime  = 2 * time.Second       // UpkeepS
	cloudTime   = 25 * time.Millisecond // of an answer
	slowFactor0 = 50
)

// cloud simulates the platform's API for machines: each executor runs on one machine.
type cloud struct {
	w       *world
	address string

	mu     sync.Mutex
	lost   bool                       // orders are carried out and not answered
	states map[string]string          // by machine; "up" if absent
	begun  map[string]map[string]bool // machines whose upkeep has begun, by wave
	waves  map[string][]string        // machines by wave
}

func startCloud(w *world) *cloud {
	ln := listen()
	c := &cloud{w: w, address: ln.Addr().String(), states: map[string]string{}, begun: map[string]map[string]bool{}, waves: map[string][]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", c.list)
	mux.HandleFunc("POST /v1/machine-upkeep", c.upkeep)
	go func() { _ = http.Serve(ln, mux) }()
	return c
}

// request asks for a wave of upkeep.
func (c *cloud) request(wave int, machines []string) {
	c.mu.Lock()
	c.waves[fmt.Sprint(wave)] = machines
	c.begun[fmt.Sprint(wave)] = map[string]bool{}
	c.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"Wave": wave, "Machines": machines, "FinishByS": 20, "Cap": 1})
	c.w.store.Put(rowstore.Key{Table: "op", Key: fmt.Sprintf("wave/%d", wave)}, data)
	c.w.log("operator: op/wave/%d %s", wave, data)
}

// setLost sets whether orders get no answer.
func (c *cloud) setLost(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = on
	c.w.log("the answers to upkeep calls are lost: %v", on)
}

func (c *cloud) answersLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	c.mu.Lock()
	for i, e := range c.w.executors {
		state := "up"
		if s := c.states[machineOf(i)]; s != "" {
			state = s
		}
		rows = append(rows, map[string]any{"Machine": machineOf(i), "Pool": service, "State": state, "Zone": "z1", "Labels": []string{e.kind, e.rack},
			"Capacity": map[string]int{"Cpu": cores * 1000, "MemMb": 512000, "Gpu": 8}, "Id": e.id})
	}
	c.mu.Unlock()
	time.Sleep(cloudTime)
	respond(rw, http.StatusOK, map[string]any{"Machines": rows, "NextToken": nil})
}

func machineOf(i int) string { return fmt.Sprintf("m-%02d", i) }

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string
		Wave    json.Number
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := c.begin(body.Wave.String(), body.Machine)
	c.w.log("cloud: upkeep of %s for wave %s by %s under %s: %d %s", body.Machine, body.Wave, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"), status, reason)
	answer := map[string]any{}
	if reason != "" {
		answer["Reason"] = reason
	}
	if c.answersLost() {
		<-r.Context().Done()
		return
	}
	time.Sleep(cloudTime)
	respond(rw, status, answer)
}

// begin begins the upkeep of a machine, if it is up and belongs to the wave.
func (c *cloud) begin(wave, machine string) (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	member := false
	for _, m := range c.waves[wave] {
		member = member || m == machine
	}
	switch {
	case !member:
		return http.StatusConflict, "wave"
	case c.begun[wave][machine]:
		return http.StatusOK, ""
	case c.states[machine] != "":
		return http.StatusConflict, "busy"
	}
	c.begun[wave][machine], c.states[machine] = true, "upkeep"
	for i, e := range c.w.executors {
		if machineOf(i) == machine {
			go c.replace(i, e)
		}
	}
	return http.StatusOK, ""
}

// replace ends the executor of a machine; a new one joins after the upkeep.
func (c *cloud) replace(i int, e *executor) {
	e.exit("ends for the upkeep of its machine")
	c.w.store.Remove(serverKey(e.id))
	time.Sleep(upkeepTime)
	next := startExecutor(c.w, e.id+"u", e.kind, e.rack)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.executors[i] = next
	delete(c.states, machineOf(i))
	c.w.log("machine %s is up", machineOf(i))
}

// missing returns the machines of a wave whose upkeep hasn't begun.
func (c *cloud) missing(wave int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, m := range c.waves[fmt.Sprint(wave)] {
		if !c.begun[fmt.Sprint(wave)][m] {
			out = append(out, m)
		}
	}
	return out
}
