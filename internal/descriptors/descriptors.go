// Package descriptors reports how many file descriptors the process has open, how many it may open, and what kinds of connections hold them.
package descriptors

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

const (
	// logInterval is the interval of the log line with the numbers of connections.
	logInterval = 5 * time.Second
	// reservedForFiles is the number of descriptors that connections leave to files and to the runtime.
	reservedForFiles = 200
	// headroomDivisor gives the headroom of a bounded kind, an eighth of the descriptors for connections: others may be accepted before the bound is
	// computed anew. minRoomDivisor gives the part that the kind may use even if the others take all of the rest.
	headroomDivisor, minRoomDivisor = 8, 8
	// descriptorDir lists the open descriptors of the process.
	descriptorDir = "/proc/self/fd"
)

// Counts are the numbers of connections of one kind.
type Counts struct {
	Active int // accepted, being opened, or in use by a call
	Idle   int // kept for later calls
}

// Kind is a kind of connections.
type Kind struct {
	Name  string
	Count func() Counts
	// TakePeak returns the highest number since its last call; nil if it isn't recorded.
	TakePeak func() int
}

// Monitor reports the descriptors of the process by kind of connection. It implements prometheus.Collector.
type Monitor struct {
	limit int
	kinds []Kind
}

var (
	connectionsDesc = prometheus.NewDesc("samphirewell_connections", "Open connections by kind; idle ones are kept for later calls.", []string{"kind", "state"}, nil)
	inUseDesc       = prometheus.NewDesc("samphirewell_descriptors", "Open file descriptors; -1 if the system doesn't tell.", nil, nil)
	limitDesc       = prometheus.NewDesc("samphirewell_descriptor_limit", "File descriptors that the process may open.", nil, nil)
)

// NewMonitor returns a monitor. limit is the number of descriptors that the process may open.
func NewMonitor(limit int, kinds ...Kind) *Monitor { return &Monitor{limit, kinds} }

// Limit returns the number of descriptors that the process may open: the configured number, if it is above 0, or that of the system if it is lower.
func Limit(configured int) (int, error) {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return configured, errors.Wrap(err, "limit of file descriptors")
	}
	if configured > 0 && uint64(configured) < r.Cur {
		return configured, nil
	}
	return int(min(r.Cur, 1<<30)), nil
}

// InUse returns the number of open descriptors, or -1 if the system doesn't tell.
func InUse() int {
	entries, err := os.ReadDir(descriptorDir)
	if err != nil {
		return -1
	}
	return len(entries) - 1 // one is that of the listing itself
}

// Room returns how many connections the kind may have: what the others leave, with some headroom.
func (m *Monitor) Room(kind string) int {
	connections := m.limit - reservedForFiles
	others := 0
	for _, k := range m.kinds {
		if k.Name != kind {
			n := k.Count()
			others += n.Active + n.Idle
		}
	}
	return max(1, connections/minRoomDivisor, connections-connections/headroomDivisor-others)
}

// Describe implements prometheus.Collector.
func (m *Monitor) Describe(out chan<- *prometheus.Desc) {
	out <- connectionsDesc
	out <- inUseDesc
	out <- limitDesc
}

// Collect implements prometheus.Collector.
func (m *Monitor) Collect(out chan<- prometheus.Metric) {
	out <- prometheus.MustNewConstMetric(inUseDesc, prometheus.GaugeValue, float64(InUse()))
	out <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(m.limit))
	for _, k := range m.kinds {
		n := k.Count()
		out <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(n.Active), k.Name, "active")
		out <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(n.Idle), k.Name, "idle")
	}
}

// Run logs the numbers periodically until ctx ends.
func (m *Monitor) Run(ctx context.Context, log logrus.FieldLogger) {
	ticker := time.NewTicker(logInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			log.WithFields(m.fields()).Info("connections")
		}
	}
}

// fields returns the numbers as fields of a log line; kinds without connections are left out.
func (m *Monitor) fields() logrus.Fields {
	out := logrus.Fields{"descriptors": InUse(), "descriptor_limit": m.limit}
	total := 0
	add := func(name string, n int) {
		if n > 0 {
			out[name] = n
		}
	}
	for _, k := range m.kinds {
		n := k.Count()
		total += n.Active + n.Idle
		add(k.Name+"_active", n.Active)
		add(k.Name+"_idle", n.Idle)
		if k.TakePeak != nil {
			add(k.Name+"_peak", k.TakePeak())
		}
	}
	out["open_connections"] = total
	return out
}
