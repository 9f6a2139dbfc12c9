package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"samphirewell/internal/rowstore"
)

// upkeepTime is UpkeepS.
const upkeepTime = 2 * time.Second

// machine is a machine of the platform; its executor changes with each life.
type machine struct {
	id       string
	executor *executor
	lives    int
	state    string       // up or upkeep
	waves    map[int]bool // waves for which it has begun its upkeep
}

// cloud plays the platform's API of machines.
type cloud struct {
	w        *world
	mu       sync.Mutex
	machines []*machine
	silent   bool // it does nothing and doesn't answer
	// onUpkeep is called when an upkeep begins, with the work items that it ends; nil does nothing.
	onUpkeep func(m *machine, wave int, ended map[string]*execution)
}

// addCloud starts the API. It must be called before hosts are added.
func (w *world) addCloud() (*cloud, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{w: w}
	w.machines = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: c}).Serve(ln) }()
	return c, nil
}

// add adds a machine whose executor has the given id.
func (c *cloud) add(id string, e *executor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, &machine{id: id, executor: e, state: "up", waves: map[int]bool{}})
}

func (c *cloud) setSilent(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = on
	c.w.record.line("API of machines silent: %v", on)
}

// putWave stores an operator's request for a wave.
func (c *cloud) putWave(wave string, finishByS, limit int, machines ...string) {
	data, err := json.Marshal(map[string]any{"Wave": json.Number(wave), "Machines": machines, "FinishByS": finishByS, "Cap": limit})
	if err != nil {
		panic(err) // plain types
	}
	c.w.store.Put(rowstore.Key{Table: "op", Key: "wave/" + wave}, data)
	c.w.record.line("operator stores wave %s: machines %v, FinishByS %d, Cap %d", wave, machines, finishByS, limit)
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		c.w.record.line("API of machines leaves a call unanswered and undone: %s", r.URL.Path)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/v1/machines" {
		c.list(w)
		return
	}
	var body struct {
		Machine string
		Wave    int
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := c.upkeep(body.Machine, body.Wave)
	c.w.record.line("upkeep of %s for wave %d by %s with token %s: %d %s", body.Machine, body.Wave, r.Header.Get("X-Lease-Holder"),
		r.Header.Get("X-Fencing-Token"), status, reason)
	if status != http.StatusOK {
		reply(w, status, map[string]any{"Reason": reason})
		return
	}
	reply(w, status, map[string]any{})
}

func (c *cloud) list(w http.ResponseWriter) {
	c.mu.Lock()
	rows := []map[string]any{}
	for _, m := range c.machines {
		rows = append(rows, map[string]any{"Machine": m.id, "Pool": "svc", "State": m.state, "Zone": "z", "Labels": []string{"kind-a", m.executor.rack},
			"Capacity": m.executor.capacity, "Id": m.executor.id})
	}
	c.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Machines": rows})
}

func (c *cloud) upkeep(id string, wave int) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.id != id {
			continue
		}
		switch {
		case m.waves[wave]:
			return http.StatusOK, "already done"
		case m.state != "up":
			return http.StatusConflict, "busy"
		}
		m.waves[wave], m.state = true, "upkeep"
		ended := m.executor.remove()
		if c.onUpkeep != nil {
			c.onUpkeep(m, wave, ended)
		}
		time.AfterFunc(upkeepTime, func() { c.back(m) })
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, "no such machine"
}

// back begins the next life of a machine: a new executor at a new address.
func (c *cloud) back(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.lives++
	old := m.executor
	m.executor = c.w.fleet.add(old.id+"-"+string(rune('a'+m.lives)), old.rack, old.capacity)
	m.state = "up"
}

// remove ends the executor's life for good, and returns what ran there.
func (e *executor) remove() map[string]*execution {
	e.mu.Lock()
	ended := e.running
	e.alive, e.running = false, map[string]*execution{}
	_ = e.server.Close()
	e.mu.Unlock()
	e.fleet.store.Remove(rowstore.Key{Table: "servers", Key: e.id})
	e.fleet.record.line("executor %s is gone", e.id)
	return ended
}
