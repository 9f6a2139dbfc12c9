package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"html"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

// WriteText writes one line for each event, warnings first.
func WriteText(w io.Writer, m Merged) error {
	b := bufio.NewWriter(w)
	for _, warning := range m.Warnings {
		_, _ = fmt.Fprintln(b, "warning:", warning)
	}
	for _, e := range m.Events {
		_, _ = fmt.Fprintln(b, Line(e))
	}
	return errors.Wrap(b.Flush(), "write timeline")
}

// Line returns the text form of one event.
func Line(e api.Event) string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s+%d %s/%s %s", time.UnixMilli(int64(e.HlcMS)).UTC().Format("2006-01-02T15:04:05.000Z"), e.HlcCount, e.FailureDomain, e.HostID, e.Kind)
	for _, f := range []struct{ name, value string }{
		{"job", e.JobID}, {"team", e.Team}, {"worker", e.WorkerID}, {"subject", e.Subject}, {"reason", e.Reason},
	} {
		if f.value != "" {
			fmt.Fprintf(&s, " %s=%s", f.name, f.value)
		}
	}
	if e.Count > 1 {
		fmt.Fprintf(&s, " count=%d", e.Count)
	}
	return s.String()
}

// WriteJSONLines writes one JSON object {"warning": ...} for each warning, then one JSON object for each event.
func WriteJSONLines(w io.Writer, m Merged) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for _, warning := range m.Warnings {
		if err := enc.Encode(map[string]string{"warning": warning}); err != nil {
			return errors.Wrap(err, "write timeline")
		}
	}
	for _, e := range m.Events {
		if err := enc.Encode(e); err != nil {
			return errors.Wrap(err, "write timeline")
		}
	}
	return errors.Wrap(b.Flush(), "write timeline")
}

// Sizes of the picture in SVG user units.
const (
	svgWidth      = 1200
	svgLeftMargin = 160
	svgRowHeight  = 36
	svgTopMargin  = 40
	svgRadius     = 4
	svgLineHeight = 18
)

// WriteSVG writes a self-contained picture: one row for each host, time from left to right, a dot for each event with its text as
// a tooltip, and the warnings below.
func WriteSVG(w io.Writer, m Merged) error {
	hosts := hostsOf(m.Events)
	first, last := span(m.Events)
	b := bufio.NewWriter(w)
	height := svgTopMargin + svgRowHeight*len(hosts) + svgRowHeight + svgLineHeight*len(m.Warnings)
	_, _ = fmt.Fprintf(b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", svgWidth, height)
	_, _ = fmt.Fprintf(b, `<text x="%d" y="%d">%s to %s, %d events</text>`+"\n", svgLeftMargin, svgLineHeight, clockText(first), clockText(last), len(m.Events))
	for i, h := range hosts {
		y := svgTopMargin + svgRowHeight*i + svgRowHeight/2
		_, _ = fmt.Fprintf(b, `<text x="4" y="%d">%s</text><line x1="%d" x2="%d" y1="%d" y2="%d" stroke="#ccc"/>`+"\n", y+4, html.EscapeString(h), svgLeftMargin, svgWidth-10, y, y)
	}
	for _, e := range m.Events {
		writeDot(b, e, slices.Index(hosts, e.HostID), first, last)
	}
	for i, warning := range m.Warnings {
		_, _ = fmt.Fprintf(b, `<text x="4" y="%d" fill="#b00">%s</text>`+"\n", svgTopMargin+svgRowHeight*len(hosts)+svgLineHeight*(i+1), html.EscapeString(warning))
	}
	_, _ = fmt.Fprintln(b, "</svg>")
	return errors.Wrap(b.Flush(), "write timeline picture")
}

func writeDot(w io.Writer, e api.Event, row, first, last int) {
	x := svgLeftMargin + (svgWidth-svgLeftMargin-20)*(e.HlcMS-first)/max(1, last-first)
	y := svgTopMargin + svgRowHeight*row + svgRowHeight/2
	_, _ = fmt.Fprintf(w, `<circle cx="%d" cy="%d" r="%d" fill="%s"><title>%s</title></circle>`+"\n", x, y, svgRadius, colour(e.Kind), html.EscapeString(Line(e)))
}

func colour(k api.EventKind) string {
	s := string(k)
	switch {
	case strings.HasPrefix(s, "job_") || strings.HasPrefix(s, "gang_"):
		return "#1f77b4"
	case strings.HasPrefix(s, "config_") || strings.HasPrefix(s, "shares_"):
		return "#2ca02c"
	case strings.HasPrefix(s, "table_") || strings.HasSuffix(s, "_refused") || strings.HasSuffix(s, "_suspected"):
		return "#d62728"
	}
	return "#7f7f7f"
}

func hostsOf(events []api.Event) []string {
	var hosts []string
	for _, e := range events {
		hosts = append(hosts, e.HostID)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

func span(events []api.Event) (first, last int) {
	if len(events) == 0 {
		return 0, 0
	}
	return events[0].HlcMS, events[len(events)-1].HlcMS
}

func clockText(ms int) string { return time.UnixMilli(int64(ms)).UTC().Format("15:04:05.000") }
