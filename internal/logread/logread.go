// Package logread reads the structured logs of several hosts and sorts the lines about one job.
package logread

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxLineBytes bounds the length of a line; hosts write far shorter ones.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time    string // time of day of the host, which may be wrong by seconds
	Host    string
	Process string // identifies one process of the host
	Number  int64  // sequence number of the line within the process
	Message string
	Job     string
	Epoch   int64          // epoch of the leader that wrote the line, else 0
	Fields  map[string]any // all other fields except level and domain
}

// excludedFields are left out of Line.Fields: most have a field of Line of their own; level and domain aren't shown.
var excludedFields = []string{"time", "host", "process", "n", "msg", "job", "epoch", "level", "domain"}

// Read appends the log lines of a job to out. Lines that contain the job's id but aren't log lines are skipped, since a log collector may insert
// lines of its own; their number is returned.
func Read(r io.Reader, job string, out []Line) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		text := s.Text()
		if i := strings.IndexByte(text, '{'); i >= 0 {
			text = text[i:] // log collectors put a time and a host in front
		}
		if !strings.Contains(text, job) {
			continue
		}
		l, ok := parseLine(text)
		if !ok {
			skipped++
			continue
		}
		if l.Job == job {
			out = append(out, l)
		}
	}
	return out, skipped, errors.Wrap(s.Err(), "log")
}

func parseLine(text string) (Line, bool) {
	d := json.NewDecoder(strings.NewReader(text))
	d.UseNumber()
	var f map[string]any
	if err := d.Decode(&f); err != nil {
		return Line{}, false
	}
	l := Line{Time: stringValue(f["time"]), Host: stringValue(f["host"]), Process: stringValue(f["process"]), Message: stringValue(f["msg"]),
		Job: stringValue(f["job"]), Number: intValue(f["n"]), Epoch: intValue(f["epoch"]), Fields: f}
	for _, k := range excludedFields {
		delete(f, k)
	}
	return l, l.Message != ""
}

func stringValue(v any) string {
	s, _ := v.(string)
	return s
}

func intValue(v any) int64 {
	n, ok := v.(json.Number)
	if !ok {
		return 0
	}
	i, err := n.Int64()
	if err != nil {
		return 0
	}
	return i
}

// stage returns 0 for the submission of a job and 1 for all other lines. A job is stored before a leader schedules it, but the host that accepts it may log
// that later. Repetitions of a submission come at any time.
func (l Line) stage() int {
	if reason := l.Fields["reason"]; l.Epoch == 0 && l.Fields["action"] == "submit" && reason != "already_known" && reason != "already_stored" {
		return 0
	}
	return 1
}

// Order sorts lines causally where the order is known, since the clocks of hosts may differ: the submission before all others, lines of one process by
// their numbers, and leaders by epoch. Other lines are sorted by the time of day.
func Order(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		switch {
		case a.stage() != b.stage():
			return cmp.Compare(a.stage(), b.stage())
		case a.Process == b.Process && a.Process != "":
			return cmp.Compare(a.Number, b.Number)
		case a.Epoch > 0 && b.Epoch > 0 && a.Epoch != b.Epoch:
			return cmp.Compare(a.Epoch, b.Epoch)
		}
		return cmp.Compare(a.Time, b.Time)
	})
}

// Text renders lines for a terminal, with the fields in a fixed order.
func Text(lines []Line) string {
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "%s %-16s", timeOfDay(l.Time), l.Host)
		if l.Epoch > 0 {
			fmt.Fprintf(&b, " epoch %d", l.Epoch)
		}
		fmt.Fprintf(&b, " %s", l.Message)
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			if v := l.Fields[k]; v != "" && v != nil {
				fmt.Fprintf(&b, " %s=%v", k, v)
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// timeOfDay returns the part of an RFC 3339 time after the date, without a final Z.
func timeOfDay(t string) string {
	if _, after, ok := strings.Cut(t, "T"); ok {
		return strings.TrimSuffix(after, "Z")
	}
	return t
}
