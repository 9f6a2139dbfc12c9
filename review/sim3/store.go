package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// lossyStore serves the platform's store. During a spell, transactions whose body contains a text get no answer and are carried out late.
type lossyStore struct {
	w     *world
	inner http.Handler

	mu     sync.Mutex
	text   string // empty: no spell
	late   time.Duration
	writes int // transactions in the spell
	lost   int
}

func (s *lossyStore) begin(text string, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text, s.late = text, late
	s.w.log("answers of the platform's store are lost; these transactions are carried out %v late", late)
}

func (s *lossyStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = ""
	s.w.log("the platform's store answers all calls again; answers lost: %d of %d transactions", s.lost, s.writes)
}

// loses reports whether a transaction gets no answer, and how late it is carried out.
func (s *lossyStore) loses(body []byte) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.text == "" {
		return 0, false
	}
	s.writes++
	if !strings.Contains(string(body), s.text) {
		return 0, false
	}
	s.lost++
	return s.late, true
}

// ServeHTTP implements http.Handler.
func (s *lossyStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/rows-tx" {
		s.inner.ServeHTTP(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	late, lost := s.loses(body)
	if !lost {
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.inner.ServeHTTP(rw, r)
		return
	}
	s.w.log("store: a transaction gets no answer")
	time.AfterFunc(late, func() {
		again := httptest.NewRequest(http.MethodPost, r.URL.Path, bytes.NewReader(body))
		answer := httptest.NewRecorder()
		s.inner.ServeHTTP(answer, again)
		s.w.log("store: the late transaction is carried out: %d", answer.Code)
	})
	<-r.Context().Done()
}
