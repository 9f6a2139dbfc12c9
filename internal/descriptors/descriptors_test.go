package descriptors

import (
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against numbers of descriptors that don't follow the connections of the process.
func TestInUseFollowsOpenConnections(t *testing.T) {
	before := InUse()
	must.Positive(t, before)
	var open []net.Listener
	for range 5 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		open = append(open, ln)
	}
	must.GreaterEq(t, before+5, InUse())
	for _, ln := range open {
		must.NoError(t, ln.Close())
	}
}

// Guards against a limit above that of the system, and against one that ignores the settings.
func TestLimitIsTheLowerOfSettingsAndSystem(t *testing.T) {
	var r syscall.Rlimit
	must.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r))
	for configured, want := range map[int]int{0: int(min(r.Cur, 1<<30)), 300: 300} {
		limit, err := Limit(configured)
		must.NoError(t, err)
		must.Eq(t, want, limit, must.Sprint(configured))
	}
}

// Guards against log lines that lack a kind of connection or the number of descriptors.
func TestLogFieldsNameEachKind(t *testing.T) {
	m := NewMonitor(4100, Kind{Name: "workers", Count: func() Counts { return Counts{Active: 2, Idle: 3} }, TakePeak: func() int { return 7 }},
		Kind{Name: "callers", Count: func() Counts { return Counts{Active: 4} }}, Kind{Name: "adviser", Count: func() Counts { return Counts{} }})
	f := m.fields()
	must.Positive(t, f["descriptors"].(int))
	delete(f, "descriptors")
	must.MapEq(t, map[string]any{"descriptor_limit": 4100, "open_connections": 9, "workers_active": 2, "workers_idle": 3, "workers_peak": 7, "callers_active": 4}, f)
}
