// Package operator serves the operator endpoint of an entry host: status, lists, drain, counters and health. It listens
// on a port of its own and requires a bearer token for everything but the health checks.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"expvar"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/config"
)

const (
	maxBodyBytes = 1 << 20 // largest request body, in bytes; lists of 37 teams take about 20 KB
	bearerPrefix = "Bearer "
)

// Host is the part of an entry host that the operator endpoint uses. Its methods are safe for concurrent use.
type Host interface {
	// Status returns the state of the host, without secrets. It must not block.
	Status() api.HostStatus
	// Drain begins the graceful stop and returns immediately. Further calls have no effect.
	Drain()
}

// Publisher changes the accepted lists; *config.Publisher implements it.
type Publisher interface {
	Put(ctx context.Context, change config.Change) (config.Result, error)
}

// Options configures an operator endpoint.
type Options struct {
	Address   string         // ip:port to listen on; port 0 picks a free one
	Token     string         // bearer token
	Host      Host           // provides the status and the drain
	Lists     *config.Holder // version in force
	Publisher Publisher      // changes the accepted lists
	Vars      *expvar.Map    // counters of this host; may be nil
}

// Server is the operator endpoint of one entry host.
type Server struct {
	options   Options
	tokenHash [sha256.Size]byte
	mux       *http.ServeMux
	ctx       context.Context // ends at Shutdown
	cancel    context.CancelFunc

	mu     sync.Mutex
	engine *nbhttp.Engine
	addr   net.Addr
}

// New returns a server that is not listening; see Start.
func New(options Options) *Server {
	s := &Server{options: options, tokenHash: sha256.Sum256([]byte(options.Token)), mux: http.NewServeMux()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.mux.HandleFunc("GET /healthz", s.healthz)
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.Handle("GET /v1/status", http.HandlerFunc(s.status))
	s.Handle("GET /v1/lists", http.HandlerFunc(s.getLists))
	s.Handle("PUT /v1/lists", http.HandlerFunc(s.putLists))
	s.Handle("POST /v1/drain", http.HandlerFunc(s.drain))
	s.Handle("GET /debug/vars", http.HandlerFunc(s.vars))
	return s
}

// Handle registers a handler behind the token check, with a pattern of http.ServeMux. It must be called before Start.
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.mux.Handle(pattern, s.authenticated(handler))
}

// authenticated requires the bearer token. It compares hashes of equal length, so that the duration of the comparison reveals neither the content nor
// the length of the token.
func (s *Server) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, hasBearerPrefix := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		hash := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(hash[:], s.tokenHash[:]) != 1 || !hasBearerPrefix || s.options.Token == "" {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, "a valid bearer token is required")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP handles one request without a listener of its own.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Start listens on the configured address and serves in the background. The error is that of the listener.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name:    "operator",
		Network: "tcp",
		Addrs:   []string{s.options.Address},
		// Operators open few connections, so each can have its own goroutine. The event loop would save memory, but it passes accepted connections
		// through the kernel, which the race detector reports as a data race.
		IOMod:           nbhttp.IOModBlocking,
		MaxHTTPBodySize: maxBodyBytes,
		Handler:         s,
		Listen: func(network, address string) (net.Listener, error) {
			listener, err := net.Listen(network, address)
			if err == nil {
				s.addr = listener.Addr()
			}
			return listener, err
		},
	})
	if err := engine.Start(); err != nil {
		return errors.Wrap(err, "start operator endpoint")
	}
	s.engine = engine
	return nil
}

// Addr returns the address of the listener, or an empty string before Start.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == nil {
		return ""
	}
	return s.addr.String()
}

// Shutdown stops the listener and waits for open requests until ctx ends. It is safe without a Start.
func (s *Server) Shutdown(ctx context.Context) error {
	s.cancel()
	s.mu.Lock()
	engine := s.engine
	s.engine = nil
	s.mu.Unlock()
	if engine == nil {
		return nil
	}
	return errors.Wrap(engine.Shutdown(ctx), "stop operator endpoint")
}
