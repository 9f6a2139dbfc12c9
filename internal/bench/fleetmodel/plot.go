package fleetmodel

import (
	"fmt"
	"html"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Sizes of the plot, in pixels.
const (
	plotWidth  = 960
	plotHeight = 360
	plotMargin = 48
	plotLegend = 24
)

// plotColours distinguish the policies. Without colours their order, which is the same in the legend and in each group of bars, does.
var plotColours = [...]string{"#1b6ca8", "#c8553d", "#e0a458", "#6a994e", "#7b5ea7", "#444444"}

// WriteSVG draws the worth that each policy earns in all classes and in each class, with 95% confidence intervals.
func (r Report) WriteSVG(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<text x="%d" y="16">%s: worth earned of what was owed, 95%% confidence ranges</text>`+"\n", plotMargin, html.EscapeString(r.Scenario.Name))
	bottom, top := float64(plotHeight-plotMargin), float64(plotMargin+plotLegend)
	height := func(share float64) float64 { return bottom - share*(bottom-top) }
	for i := range 6 {
		y := height(float64(i) / 5)
		fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.1f</text>`+"\n",
			plotMargin, plotWidth-plotMargin, y, y, plotMargin-6, y+4, float64(i)/5)
	}
	groups := len(r.Scenario.Classes) + 1
	groupWidth := float64(plotWidth-2*plotMargin) / float64(groups)
	bar := groupWidth * 0.8 / float64(max(1, len(r.Outcomes)))
	for g := range groups {
		left := plotMargin + float64(g)*groupWidth
		name := "all"
		if g > 0 {
			name = r.Scenario.Classes[g-1].Name
		}
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`+"\n", left+groupWidth/2, bottom+18, html.EscapeString(name))
		for i, o := range r.Outcomes {
			e := o.EstimateOf(func(x Result) float64 {
				if g == 0 {
					return x.Worth
				}
				return x.Classes[g-1].Worth
			})
			drawBar(&b, left+groupWidth*0.1+float64(i)*bar, bar, e, height, plotColours[i%len(plotColours)])
		}
	}
	for i, o := range r.Outcomes {
		x := plotMargin + i*180
		fmt.Fprintf(&b, `<rect x="%d" y="26" width="12" height="12" fill="%s"/><text x="%d" y="36">%s</text>`+"\n", x, plotColours[i%len(plotColours)], x+18, html.EscapeString(o.Policy))
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}

// drawBar draws the bar of an estimate and the line of its confidence interval; height converts a share to a y coordinate.
func drawBar(b *strings.Builder, x, width float64, e Estimate, height func(float64) float64, colour string) {
	low, high := max(0, e.Mean-e.HalfWidth), min(1, e.Mean+e.HalfWidth)
	fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, x, height(e.Mean), width*0.9, height(0)-height(e.Mean), colour)
	fmt.Fprintf(b, `<line x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f" stroke="#000"/>`+"\n", x+width*0.45, x+width*0.45, height(low), height(high))
}
