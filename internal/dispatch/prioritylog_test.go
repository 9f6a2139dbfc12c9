package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"samphirewell/internal/batch"
)

// Guards against logs that don't tell how much capacity each priority holds, and whether jobs that wait are nearly done.
func TestLogTellsTheCapacityOfEachPriority(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	log, hook := logtest.NewNullLogger()
	s.leaders[0].core.log = log
	s.run(200 * time.Millisecond)
	whole := batch.Resources{MilliCores: 8000, Accelerators: 1}
	s.submit(simpleJob("urgent", "urgent", 0, 2, whole))
	s.submit(simpleJob("normal", "normal", 1, 10, whole))
	s.run(priorityLogInterval)
	lines := map[any]logrus.Fields{}
	for _, e := range hook.AllEntries() {
		if e.Message == "capacity of a priority" {
			lines[e.Data["priority"]] = e.Data
		}
	}
	must.MapLen(t, 2, lines)
	must.Eq(t, any(32), lines[0]["held_cores"])
	must.Eq(t, any(0), lines[0]["waiting_tasks"])
	must.Eq(t, any(96), lines[1]["held_cores"])
	must.Eq(t, any(4), lines[1]["waiting_tasks"])
	must.Eq(t, any(1), lines[1]["waiting_in_time"])
	must.Eq(t, any(1), lines[1]["waiting_mostly_done"])
}
