package policybench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Write prints the table. Ratios compare with the better baseline of the same mix and scenario.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(t, "mix\tscenario\tpolicy\tended/jobs\tmean h\trun h\tratio\tp95 h\turgent min\tnormal h\tbatch h\tlarge slowdown\tover bound\t"+
		"claims\tmissed\texcused\tclaim max s\tfragm\tfloor\tratio\tlost %\tutil %\tpreempt\tmoves\tcpu s\t")
	if err != nil {
		return err
	}
	for i := range r.Rows {
		x := &r.Rows[i]
		best, frag := r.baselines(x)
		_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%d/%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t%.1f\t%d\t%d\t%d\t%d\t%.1f\t%.3f\t%.3f\t%.2f\t%.2f\t%.1f\t%d\t%d\t%.1f\t\n",
			x.Mix, x.Scenario, x.Policy, x.Completed, x.Jobs, x.MeanCompletion/3600, x.MeanRunTime/3600, x.MeanCompletion/best, x.CompletionP95/3600,
			x.ByClass[0].Mean/60, x.ByClass[1].Mean/3600, x.ByClass[2].Mean/3600, x.LargeSlowdown, x.LargeOverWaitBound,
			x.GuaranteeClaims, x.ClaimsMissed, x.ClaimsExcused, x.ClaimWaitMax, x.Fragmentation, x.FragmentationFloor, x.Fragmentation/frag,
			100*x.LostShare, 100*x.Utilisation, x.Preemptions, x.Migrations, x.CPU.Seconds())
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

// baselines returns the lowest mean completion time and fragmentation of the baselines of the row's mix and scenario.
func (r Report) baselines(x *Row) (completion, fragmentation float64) {
	first := true
	for i := range r.Rows {
		y := &r.Rows[i]
		if y.Mix != x.Mix || y.Scenario != x.Scenario || y.Policy == policies()[0].name {
			continue
		}
		if first {
			completion, fragmentation, first = y.MeanCompletion, y.Fragmentation, false
		}
		completion, fragmentation = min(completion, y.MeanCompletion), min(fragmentation, y.Fragmentation)
	}
	return completion, fragmentation
}
