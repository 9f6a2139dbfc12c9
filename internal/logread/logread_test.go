package logread

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const logs = `
  3.1 edge-1 {"time":"2026-01-01T10:00:09.000Z","host":"a","process":"p1","n":7,"msg":"request accepted","action":"submit","job":"j1"}
{"time":"2026-01-01T10:00:01.000Z","host":"b","process":"p2","n":3,"msg":"job queued","epoch":1,"job":"j1"}
{"time":"2026-01-01T09:59:01.000Z","host":"b","process":"p2","n":9,"msg":"starting run","epoch":1,"job":"j1","run":1}
{"time":"2026-01-01T09:58:00.000Z","host":"c","process":"p3","n":2,"msg":"run over","epoch":2,"job":"j1","outcome":"done"}
{"time":"2026-01-01T09:58:00.000Z","host":"c","process":"p3","n":2,"msg":"run over","epoch":2,"job":"j2"}
{"broken j1
`

// Guards against sorting by the clocks of hosts, which jump: acceptance must come first, then the leaders by epoch, and the lines of a process in the
// order in which it wrote them.
func TestOrderFollowsCauseAndEffect(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(logs), "j1", nil)
	must.NoError(t, err)
	must.Eq(t, 1, skipped)
	for i, j := 0, len(lines)-1; i < j; i, j = i+1, j-1 {
		lines[i], lines[j] = lines[j], lines[i]
	}
	Order(lines)
	var got []string
	for _, l := range lines {
		got = append(got, l.Message)
	}
	must.Eq(t, []string{"request accepted", "job queued", "starting run", "run over"}, got)
	must.StrContains(t, Text(lines), "epoch 2 run over outcome=done")
}

// Guards against an acceptance that is shown after the start of the job because the leader is the same process and read the stored job before the caller
// got its response.
func TestAcceptanceComesBeforeTheWorkOfItsOwnProcess(t *testing.T) {
	lines, _, err := Read(strings.NewReader(`{"time":"2026-01-01T10:00:00.000Z","host":"a","process":"p","n":4,"msg":"job queued","epoch":1,"job":"j"}
{"time":"2026-01-01T10:00:00.001Z","host":"a","process":"p","n":5,"msg":"request accepted","action":"submit","reason":"stored","job":"j"}
{"time":"2026-01-01T10:00:00.002Z","host":"a","process":"p","n":6,"msg":"request accepted","action":"submit","reason":"already_known","job":"j"}`), "j", nil)
	must.NoError(t, err)
	Order(lines)
	must.Eq(t, []int64{5, 4, 6}, []int64{lines[0].Number, lines[1].Number, lines[2].Number})
}
