package httpserve

import (
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/membudget"
)

// Limits of requests. docs/design/client-limits.md gives the reasons.
const (
	readBufferBytes = 4096
	// socketBufferBytes bounds the system's buffer of a connection in each direction; Linux doubles it for its own bookkeeping. Otherwise the responses that
	// a caller doesn't read take several MB of memory for each connection, and the process goes on producing them.
	socketBufferBytes = 32 << 10
	// maxHeaderBytes bounds the request line and the header of a request; a few hundred bytes are usual.
	maxHeaderBytes = 16 << 10
	// maxHeaderLines bounds the lines of the header and of the trailer together, since a line of a few bytes takes lineBytes of memory.
	maxHeaderLines = 128
	// lineBytes is the memory of a header line beyond its text: two strings, a slice and an entry of a map.
	lineBytes = 200
	// maxEmptyBytes bounds the empty lines before a request. RFC 9112, section 2.2, asks servers to ignore at least one.
	maxEmptyBytes = 16
	// framingFactor bounds the bytes of a chunked body on the wire, chunk sizes included, relative to the largest body.
	framingFactor = 2
	// requestTimeout bounds the time in which a request arrives, from its first byte.
	requestTimeout = 5 * time.Second
	// lateReadTimeout extends the time of a request of which bytes have arrived that the process hasn't read; maxRequestTime bounds all extensions.
	lateReadTimeout, maxRequestTime = time.Second, 2 * requestTimeout
	// writeTimeout bounds the time in which the caller takes a write of a response.
	writeTimeout = 5 * time.Second
	// memoryWait is how long a request waits for memory that another one is about to return.
	memoryWait = time.Second
	// scarcePause and maxScarcePause delay each request while the process holds too much memory, until the garbage collector has caught up. Requests are
	// served after the longest pause in any case, so that a host with much state isn't blocked.
	scarcePause, maxScarcePause = 10 * time.Millisecond, 200 * time.Millisecond
	// refusalWriteTimeout bounds the write of a refusal, and lingerTime and lingerBytes what is read and dropped after it: closing a connection with
	// unread bytes resets it, and the client might lose the refusal.
	refusalWriteTimeout, lingerTime, lingerBytes = 500 * time.Millisecond, 500 * time.Millisecond, 512 << 10
	// roomPollInterval is the interval at which a server at its bound of connections checks again whether one may be closed.
	roomPollInterval = 50 * time.Millisecond
	// minReceivingAge and minWritingAge protect requests and responses that are on their way from a new connection at the bound.
	minReceivingAge, minWritingAge = 250 * time.Millisecond, time.Second
)

const (
	// receivingFactor is the memory of a byte of an unfinished request: the parser's buffer grows by appending, and keeps the old one until it is copied.
	receivingFactor = 2
	// runningFactor is the memory of a byte of the body, beyond smallBody, while the request runs: the parser's copy, the handler's, and the decoded job.
	runningFactor = 4
	// smallBody is the size of a body whose copies aren't counted, bytes.
	smallBody = 12 << 10
)

// Defaults of Limits.
const (
	defaultMaxBody     = 1 << 20
	defaultConnections = 3000
	defaultPart        = 32 << 10
	defaultPool        = 32 << 20
)

// Limits are the limits of a server.
type Limits struct {
	// MaxBody returns the size of the largest body in bytes; nil means 1 MiB.
	MaxBody func() int
	// Connections is the largest number of open connections; 0 means 3,000.
	Connections int
	// Budget is the memory for unfinished requests and unread responses, usually shared by several servers; nil means one of 32 MiB.
	Budget *membudget.Budget
	// Scarce returns whether the process holds so much memory that requests should begin more slowly; nil means never.
	Scarce func() bool
	// Refusals counts refusals, usually of several servers; nil means that they are logged only.
	Refusals *Refusals
}

func (l Limits) withDefaults(log logrus.FieldLogger) Limits {
	if l.MaxBody == nil {
		l.MaxBody = func() int { return defaultMaxBody }
	}
	if l.Connections == 0 {
		l.Connections = defaultConnections
	}
	if l.Budget == nil {
		l.Budget = membudget.New(defaultPart, defaultPool)
	}
	if l.Scarce == nil {
		l.Scarce = func() bool { return false }
	}
	if l.Refusals == nil {
		l.Refusals = NewRefusals(log, func(string) {})
	}
	return l
}

// refusal is the reason why a request is not served.
type refusal struct {
	kind       string // label of the metric
	status     int    // of the response; 0 if the connection is closed without one
	retryAfter string // seconds
}

// Kinds of refusals without a response.
const (
	kindConnections = "connections" // closed to make room for a new connection
	kindUnread      = "unread"      // the response wasn't read in time
)

var (
	headerTooLarge = &refusal{kind: "header_too_large", status: http.StatusRequestHeaderFieldsTooLarge}
	bodyTooLarge   = &refusal{kind: "body_too_large", status: http.StatusRequestEntityTooLarge}
	noMemory       = &refusal{kind: "memory", status: http.StatusTooManyRequests, retryAfter: "1"}
	evicted        = &refusal{status: http.StatusTooManyRequests, retryAfter: "1"} // counted as kindConnections or as memory when it is chosen
	tooSlow        = &refusal{kind: "slow"}
	malformed      = &refusal{kind: "malformed"}
	emptyLines     = &refusal{kind: "empty_lines"}
)

// RefusalKinds returns the kinds of refusals that are counted.
func RefusalKinds() []string {
	return []string{headerTooLarge.kind, bodyTooLarge.kind, noMemory.kind, tooSlow.kind, malformed.kind, emptyLines.kind, kindConnections, kindUnread}
}

// refusalLogInterval is the shortest time between two log lines about refusals.
const refusalLogInterval = time.Second

// Refusals counts what servers refuse, by kind, and logs the counts at most once a second.
type Refusals struct {
	log   logrus.FieldLogger
	count func(kind string)

	mu      sync.Mutex
	counts  logrus.Fields // int by kind, since the last line
	pending bool          // a line is due
}

// NewRefusals returns counts at zero. count is called for each refusal.
func NewRefusals(log logrus.FieldLogger, count func(kind string)) *Refusals {
	return &Refusals{log: log, count: count, counts: logrus.Fields{}}
}

// Add counts a refusal.
func (r *Refusals) Add(kind string) {
	r.count(kind)
	r.mu.Lock()
	defer r.mu.Unlock()
	n, _ := r.counts[kind].(int)
	r.counts[kind] = n + 1
	if !r.pending {
		r.pending = true
		time.AfterFunc(refusalLogInterval, r.write)
	}
}

func (r *Refusals) write() {
	r.mu.Lock()
	counts := r.counts
	r.counts, r.pending = logrus.Fields{}, false
	r.mu.Unlock()
	r.log.WithFields(counts).Info("clients outside the limits refused")
}

// reportLimiter bounds log lines of one kind to one a second.
type reportLimiter struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

// next returns whether a line may be written, and how many were left out since the last one.
func (l *reportLimiter) next() (ok bool, skipped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.last) < refusalLogInterval {
		l.skipped++
		return false, 0
	}
	skipped = l.skipped
	l.last, l.skipped = time.Now(), 0
	return true, skipped
}
