// Package logread reads the structured logs of several hosts and orders what they say of one job.
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

// maxLineBytes bounds a line; hosts write far shorter ones.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time    string // time of day of the host, which may be wrong by seconds
	Host    string
	Process string // identifies one process of the host
	Number  int64  // counts the lines of the process
	Message string
	Job     string
	Epoch   int64 // of the leader that wrote it, else 0
	Fields  map[string]any
}

// known are the fields that Line holds by name; they are left out of Fields.
var known = []string{"time", "host", "process", "n", "msg", "job", "epoch", "level", "domain"}

// Read adds the lines that speak of the job to out. Lines that aren't log lines are passed over, since a collector may put others between them; their
// number is returned.
func Read(r io.Reader, job string, out []Line) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		text := s.Text()
		if i := strings.IndexByte(text, '{'); i >= 0 {
			text = text[i:] // collectors put a time and a host in front
		}
		if !strings.Contains(text, job) {
			continue
		}
		l, ok := parse(text)
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

func parse(text string) (Line, bool) {
	d := json.NewDecoder(strings.NewReader(text))
	d.UseNumber()
	var f map[string]any
	if err := d.Decode(&f); err != nil {
		return Line{}, false
	}
	l := Line{Time: str(f["time"]), Host: str(f["host"]), Process: str(f["process"]), Message: str(f["msg"]), Job: str(f["job"]),
		Number: num(f["n"]), Epoch: num(f["epoch"]), Fields: f}
	for _, k := range known {
		delete(f, k)
	}
	return l, l.Message != ""
}

func str(v any) string {
	s, _ := v.(string)
	return s
}

func num(v any) int64 {
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

// stage orders lines of different processes: a job is accepted before a leader works on it.
func (l Line) stage() int {
	if l.Epoch == 0 && l.Fields["action"] == "submit" {
		return 0
	}
	return 1
}

// Order sorts lines by cause and effect as far as that is known, and by the time of day otherwise: the lines of a process are in their order,
// acceptance comes before the leader's work, and each leader before the next one.
func Order(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		switch {
		case a.Process == b.Process && a.Process != "":
			return cmp.Compare(a.Number, b.Number)
		case a.stage() != b.stage():
			return cmp.Compare(a.stage(), b.stage())
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
		fmt.Fprintf(&b, "%s %-16s", clock(l.Time), l.Host)
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

// clock returns the time of day of an RFC 3339 time.
func clock(t string) string {
	if _, after, ok := strings.Cut(t, "T"); ok {
		return strings.TrimSuffix(after, "Z")
	}
	return t
}
