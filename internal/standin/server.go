// Package standin simulates the systems outside of samphirewell for tests, benchmarks and demos: the platform, its balancer, executors, workers and
// the network between failure domains. The simulated servers listen on loopback and can be set to fail. None of this is used in production.
package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

const (
	// loopbackAnyPort is the listen address of a server whose port the operating system chooses.
	loopbackAnyPort = "127.0.0.1:0"
	// readBufferBytes is the size of the read buffer of one server. It is small because a process runs many of these servers.
	readBufferBytes = 16 << 10
	// startTimeout bounds the start of a server.
	startTimeout = 10 * time.Second
	// acceptDelay bounds the time between the dial of a connection and its acceptance on loopback.
	acceptDelay = time.Second
	// stopTimeout bounds the stop of a server. nbio waits without a limit for each connection that it has counted.
	stopTimeout = 10 * time.Second
)

// limitLibraryLog makes nbio log only errors; by default it logs each start and stop of the many servers.
var limitLibraryLog = sync.OnceFunc(func() { logging.SetLevel(logging.LevelError) })

// server is an HTTP server on loopback with one poller and a connection limit.
type server struct {
	engine         *nbhttp.Engine
	listener       *limitListener
	addr           string
	closed         chan struct{} // closed by Close, so that waiting handlers return
	closeOnce      sync.Once
	conns          sync.Map // remote address -> *acceptedConn
	openConns      atomic.Int64
	connLimit      int64
	deniedConns    atomic.Uint64 // connections closed because of the limit
	pendingCloses  sync.Map      // remote address -> time until which a connection accepted from it is closed immediately
	connClosedFunc atomic.Pointer[func(remote string)]

	// acceptSync is written by the goroutine that accepts a connection and read by those that handle it. The kernel already orders the two, but the
	// race detector cannot see that: without this field it reports a race on the address of the connection in nbio.
	acceptSync atomic.Uint64

	pollerRunning     chan struct{} // closed when the first connection has closed, which shows that the poller runs
	pollerRunningOnce sync.Once
}

// newServer returns a server that is not started. At most connLimit connections are open at a time; 0 means no limit.
func newServer(connLimit int) *server {
	return &server{closed: make(chan struct{}), pollerRunning: make(chan struct{}), connLimit: int64(connLimit)}
}

// start listens on addr (ip:port; empty for any port on loopback) and returns once the server is running.
func (s *server) start(addr string, handler http.Handler) error {
	limitLibraryLog()
	if addr == "" {
		addr = loopbackAnyPort
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.addr = listener.Addr().String()
	s.listener = &limitListener{Listener: listener, server: s, acceptEnded: make(chan struct{}), engineStops: make(chan struct{})}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:           "tcp",
		Addrs:             []string{s.addr},
		NPoller:           1,
		ReadBufferSize:    readBufferBytes,
		SupportServerOnly: true,
		Handler:           handler,
		ServerExecutor:    func(f func()) { go f() },
		Listen: func(string, string) (net.Listener, error) {
			return s.listener, nil
		},
	})
	s.engine.OnOpen(s.connOpened)
	s.engine.OnClose(s.connClosed)
	s.engine.OnReadBufferAlloc(func(c *nbio.Conn) *[]byte {
		s.acceptSync.Load()
		return s.engine.PollerBufferPtr(c)
	})
	if err := s.engine.Start(); err != nil {
		_ = listener.Close()
		return errors.Wrap(err, "start server")
	}
	return s.awaitPoller()
}

// awaitPoller returns once the poller of nbio runs. In nbio v1.6.8 a poller that is stopped before its goroutine runs resets its stop flag and never
// ends, so that Stop would hang. Once a first connection has been handled and closed, the poller is known to run.
func (s *server) awaitPoller() error {
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		return errors.Wrap(err, "dial own address")
	}
	_ = conn.Close()
	select {
	case <-s.pollerRunning:
		return nil
	case <-time.After(startTimeout):
		return errors.New("poller did not start")
	}
}

// Close stops the server and closes its connections. It returns after stopTimeout even if the server has not stopped, and logs that.
func (s *server) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			s.listener.stopAccepting()
			s.engine.Stop()
		}()
		select {
		case <-stopped:
		case <-time.After(stopTimeout):
			logging.Error("stand-in at %s did not stop within %v, %d connections are open", s.addr, stopTimeout, s.openConns.Load())
		}
	})
}

// Addr returns the listen address as ip:port.
func (s *server) Addr() string { return s.addr }

// URL returns the base URL of the server.
func (s *server) URL() string { return "http://" + s.addr }

// OnConnClosed sets a function that is called with the remote address of each connection that was closed.
func (s *server) OnConnClosed(f func(remote string)) { s.connClosedFunc.Store(&f) }

func (s *server) notifyConnClosed(c net.Conn) {
	if f := s.connClosedFunc.Load(); f != nil {
		(*f)(c.RemoteAddr().String())
	}
}

// acceptedConn is a connection that was accepted. In nbio v1.6.8, a connection that is closed before nbio has added it to its poller is counted when it is
// added and never counted down, so that Stop would wait forever. Such a connection is closed only when it has been added.
type acceptedConn struct {
	conn  net.Conn      // of nbio; nil if nbio didn't get it
	added chan struct{} // closed when nbio has added the connection or will never get it; conn is set before
}

// CloseConn closes the connection from the remote address. If it is not accepted yet, it is closed when it is accepted within acceptDelay.
func (s *server) CloseConn(remote string) {
	s.pendingCloses.Store(remote, time.Now().Add(acceptDelay))
	if value, ok := s.conns.Load(remote); ok {
		c := value.(*acceptedConn)
		<-c.added
		s.pendingCloses.Delete(remote)
		if c.conn != nil {
			_ = c.conn.Close()
		}
	}
}

// admit records an accepted connection, or closes it if CloseConn was called for it before. It writes conns before it reads pendingCloses, and CloseConn
// writes pendingCloses before it reads conns, so that at least one of the two sees the entry of the other and closes the connection.
func (s *server) admit(c net.Conn) (accepted *acceptedConn, ok bool) {
	remote := c.RemoteAddr().String()
	accepted = &acceptedConn{added: make(chan struct{})}
	s.conns.Store(remote, accepted)
	until, pending := s.pendingCloses.LoadAndDelete(remote)
	if !pending || time.Now().After(until.(time.Time)) {
		return accepted, true
	}
	s.conns.Delete(remote)
	s.openConns.Add(-1)
	close(accepted.added)
	_ = c.Close()
	s.notifyConnClosed(c)
	return nil, false
}

// connClosed removes a closed connection.
func (s *server) connClosed(c net.Conn, _ error) {
	s.acceptSync.Load()
	if _, ok := s.conns.LoadAndDelete(c.RemoteAddr().String()); ok {
		s.openConns.Add(-1)
		s.notifyConnClosed(c)
	}
	s.pollerRunningOnce.Do(func() { close(s.pollerRunning) })
}

// connOpened is called with a connection that nbio is about to add to its poller, by the goroutine that accepts connections.
func (s *server) connOpened(c net.Conn) {
	s.acceptSync.Add(1)
	s.listener.lastAccepted.conn = c
}

// limitListener immediately closes new connections above the limit.
type limitListener struct {
	net.Listener
	server          *server
	acceptEnded     chan struct{} // closed when nbio has taken over the last connection
	acceptEndedOnce sync.Once
	engineStops     chan struct{} // closed by Close, which the engine calls when it stops
	engineStopsOnce sync.Once
	lastAccepted    *acceptedConn // used only by the goroutine of nbio that accepts connections
}

// stopAccepting closes the port and waits until nbio has taken over the last connection. In nbio v1.6.8, Stop closes the connections that it finds and
// then waits for all that were opened, so it would wait forever for one that is accepted meanwhile.
func (l *limitListener) stopAccepting() {
	_ = l.Listener.Close()
	<-l.acceptEnded
}

// Close closes the port and lets Accept return its error.
func (l *limitListener) Close() error {
	l.engineStopsOnce.Do(func() { close(l.engineStops) })
	return l.Listener.Close()
}

// Accept returns the next connection that is within the limit. Once the port is closed it returns only when the engine stops, since nbio would call it
// again at once. nbio calls it when it has added the connection that it got last.
func (l *limitListener) Accept() (net.Conn, error) {
	if l.lastAccepted != nil {
		close(l.lastAccepted.added)
		l.lastAccepted = nil
	}
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			l.acceptEndedOnce.Do(func() { close(l.acceptEnded) })
			<-l.engineStops
		}
		if err != nil {
			return nil, err
		}
		if n := l.server.openConns.Add(1); l.server.connLimit == 0 || n <= l.server.connLimit {
			accepted, ok := l.server.admit(c)
			if !ok {
				continue
			}
			l.lastAccepted = accepted
			return c, nil
		}
		l.server.openConns.Add(-1)
		l.server.deniedConns.Add(1)
		_ = c.Close()
		l.server.notifyConnClosed(c)
	}
}

// dropConn closes the connection of a request without a response.
func dropConn(w http.ResponseWriter) {
	if conn := hijack(w); conn != nil {
		_ = conn.Close()
	}
}

func hijack(w http.ResponseWriter) net.Conn {
	h, ok := w.(http.Hijacker)
	if !ok {
		return nil
	}
	conn, _, err := h.Hijack()
	if err != nil {
		return nil
	}
	return conn
}

// readJSON decodes the body into v. If the body is malformed, it responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, http.StatusOK, data)
}
