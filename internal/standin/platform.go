package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
	"samphirewell/internal/platform/memtable"
)

// PlatformConfig are the settings of a Platform.
type PlatformConfig struct {
	Address string        // ip:port; empty for any port on loopback
	Clock   clock.Clock   // nil means the clock of the operating system
	Seed    uint64        // of the random choice of requests that get faults with a rate
	HostLag time.Duration // time until a change of the host list is visible
}

// Platform serves a table, an object store and a host list over HTTP. Faults can be set on each of the three services.
type Platform struct {
	*server
	Table   *memtable.Table
	Objects *memtable.Objects
	Hosts   *memtable.HostList
}

// StartPlatform starts an empty platform.
func StartPlatform(cfg PlatformConfig) (*Platform, error) {
	if cfg.Clock == nil {
		cfg.Clock = clock.Real{}
	}
	p := &Platform{
		server:  newServer(0),
		Table:   memtable.NewTable(cfg.Clock, cfg.Seed),
		Objects: memtable.NewObjects(cfg.Clock, cfg.Seed),
		Hosts:   memtable.NewHostList(cfg.Clock, cfg.HostLag),
	}
	if err := p.start(cfg.Address, p.handler()); err != nil {
		return nil, err
	}
	return p, nil
}

// AddHost adds a host to the list or replaces the one with the same id.
func (p *Platform) AddHost(e api.HostEntry) { p.Hosts.AddHost(e) }

// RemoveHost removes a host from the list.
func (p *Platform) RemoveHost(id string) { p.Hosts.RemoveHost(id) }

// SetLeaving sets whether the list shows a host as leaving.
func (p *Platform) SetLeaving(id string, leaving bool) { p.Hosts.SetLeaving(id, leaving) }

// SetFaults sets the same faults on the table, the object store and the host list.
func (p *Platform) SetFaults(f memtable.Faults) {
	p.Table.SetFaults(f)
	p.Objects.SetFaults(f)
	p.Hosts.SetFaults(f)
}

// Stats returns the sums of the counters of the three services.
func (p *Platform) Stats() memtable.Stats {
	var sum memtable.Stats
	for _, s := range []memtable.Stats{p.Table.Stats(), p.Objects.Stats(), p.Hosts.Stats()} {
		sum.Reads += s.Reads
		sum.Writes += s.Writes
		sum.Refused += s.Refused
		sum.Lost += s.Lost
	}
	return sum
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathTxn, p.txn)
	mux.HandleFunc("POST "+platform.PathGet, p.get)
	mux.HandleFunc("POST "+platform.PathScan, p.scan)
	mux.HandleFunc("GET "+platform.PathHosts, p.hosts)
	mux.HandleFunc("GET "+platform.PathObjects+"{name}", p.getObject)
	mux.HandleFunc("PUT "+platform.PathObjects+"{name}", p.putObject)
	mux.HandleFunc("PUT "+pathRegister+"{id}", p.putHost)
	mux.HandleFunc("DELETE "+pathRegister+"{id}", p.deleteHost)
	return mux
}

func (p *Platform) txn(w http.ResponseWriter, r *http.Request) {
	var req api.TxnRequest
	if readJSON(w, r, &req) {
		resp, err := p.Table.Txn(context.Background(), req)
		respond(w, resp, err)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	var req api.GetRequest
	if readJSON(w, r, &req) {
		resp, err := p.Table.Get(context.Background(), req.Keys...)
		respond(w, resp, err)
	}
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var req api.ScanRequest
	if readJSON(w, r, &req) {
		resp, err := p.Table.Scan(context.Background(), req.Prefix, req.After, req.Limit)
		respond(w, resp, err)
	}
}

func (p *Platform) hosts(w http.ResponseWriter, _ *http.Request) {
	resp, err := p.Hosts.Hosts(context.Background())
	respond(w, resp, err)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.Objects.Get(context.Background(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeBody(w, http.StatusOK, data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.Objects.Put(context.Background(), r.PathValue("name"), data); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func respond(w http.ResponseWriter, resp any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, resp)
}

// writeError responds as the platform does to the error of a service. For a lost response it closes the connection.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, platform.ErrUncertain):
		dropConn(w)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		w.Header().Set(platform.HeaderNoEffect, "true")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
