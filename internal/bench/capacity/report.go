package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
)

// Report holds the measured series and the checks of the target sizes that are computed from them.
type Report struct {
	Options Options            `json:"options"`
	Series  map[string]*Series `json:"series"` // by group and name, separated by a slash
	Checks  []Check            `json:"lines"`

	mu    sync.Mutex // guards Series and order; each series has a single writer
	order []string
}

func newReport(o Options) *Report { return &Report{Options: o, Series: map[string]*Series{}} }

// series returns the series with this group and name, and creates it on first use.
func (r *Report) series(group, name, unit, size string) *Series {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := group + "/" + name
	s := r.Series[key]
	if s == nil {
		s = &Series{Name: name, Unit: unit, Size: size}
		r.Series[key] = s
		r.order = append(r.order, key)
	}
	return s
}

// get returns a series, or an empty one if it was not measured.
func (r *Report) get(group, name string) *Series {
	if s := r.Series[group+"/"+name]; s != nil {
		return s
	}
	return &Series{}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as Markdown tables.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	b.WriteString("### Target\n\n")
	b.WriteString("| quantity | today | target | limit | verdict |\n|---|---|---|---|---|\n")
	for _, c := range r.Checks {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", c.Name, c.todayText(), number(c.Target), c.limitText(), c.verdict())
	}
	b.WriteString("\n### Slopes\n\n")
	b.WriteString("| group | quantity | unit | against | mean (lowest to highest) at each point | least squares | R² |\n|---|---|---|---|---|---|---|\n")
	for _, key := range r.order {
		s := r.Series[key]
		group, _, _ := strings.Cut(key, "/")
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s %+.4g x | %.3f |\n", group, s.Name, s.Unit, s.Size, pointsText(s.Points),
			number(s.Line.Intercept), s.Line.Slope, s.Line.R2)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func pointsText(points []Point) string {
	parts := make([]string, 0, len(points))
	for _, p := range points {
		low, high := p.MinMax()
		text := fmt.Sprintf("%s: %s", number(p.X), number(p.Mean()))
		if low != high {
			text += fmt.Sprintf(" (%s to %s)", number(low), number(high))
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, "; ")
}

// number formats v with about three significant digits, and whole numbers below a million in full.
func number(v float64) string {
	switch a := math.Abs(v); {
	case a >= 1e6:
		return fmt.Sprintf("%.2f M", v/1e6)
	case a >= 100 || v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
