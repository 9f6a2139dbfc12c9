package tools

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/cli"
	"samphirewell/internal/timeline"
)

type explainCmd struct {
	Job  explainJobCmd  `cmd:"" help:"Explain why a job waits, where it ran, or why it was preempted or refused."`
	Call explainCallCmd `cmd:"" help:"Explain why a call ended without an answer."`
	Logs explainLogsCmd `cmd:"" help:"Explain what happened to a job from the log files of hosts."`
}

type explainJobCmd struct {
	Job  string   `arg:"" help:"Job id."`
	Host []string `name:"host" required:"" help:"Operator URLs of the hosts to ask, repeated or separated by commas."`
}

// Run prints the newest reason, the history and the events of a job. If several hosts explain the job, it uses the longest history.
func (c *explainJobCmd) Run(app *cli.App) error {
	var found *api.JobExplanation
	var pages []api.TimelinePage
	var unreachable []string
	for _, host := range c.Host {
		operator, err := app.OperatorAt(host)
		if err != nil {
			return err
		}
		var e api.JobExplanation
		if operator.Get(app.Context, "/v1/explain/job/"+c.Job, &e) == nil && (found == nil || len(e.History) > len(found.History)) {
			found = &e
		}
		got, err := readTimeline(app, host)
		if err != nil {
			unreachable = append(unreachable, host)
			continue
		}
		pages = append(pages, got...)
	}
	merged := timeline.Merge(pages, unreachable, timeline.Filter{JobID: c.Job})
	if found == nil && len(merged.Events) == 0 {
		return &cli.UsageError{Message: "no host that was reached has a record of job " + c.Job + strings.Join(prefixSemicolons(merged.Warnings), "")}
	}
	return app.Print(explanationText(c.Job, found, merged), struct {
		Explanation *api.JobExplanation `json:"explanation"`
		Events      []api.Event         `json:"events"`
		Warnings    []string            `json:"warnings"`
	}{found, merged.Events, merged.Warnings})
}

func prefixSemicolons(warnings []string) []string {
	out := make([]string, 0, len(warnings))
	for _, w := range warnings {
		out = append(out, "; "+w)
	}
	return out
}

func explanationText(job string, e *api.JobExplanation, m timeline.Merged) string {
	var b strings.Builder
	for _, w := range m.Warnings {
		fmt.Fprintln(&b, "warning:", w)
	}
	fmt.Fprintln(&b, "job", job)
	if e != nil {
		fmt.Fprintln(&b, "now:", e.Reason)
		for _, s := range e.History {
			fmt.Fprintf(&b, "%s %s (%d times): %s\n", time.UnixMilli(int64(s.AtMS)).UTC().Format("15:04:05.000"), s.Phase, s.Times, s.Reason)
		}
	}
	for _, event := range m.Events {
		fmt.Fprintln(&b, timeline.Line(event))
	}
	return b.String()
}

type explainCallCmd struct {
	Key  string   `arg:"" help:"Idempotency key of the call."`
	Host []string `name:"host" required:"" help:"Operator URLs of the hosts to ask, repeated or separated by commas."`
}

// Run prints the calls with the key that the hosts recorded as ended without an answer.
func (c *explainCallCmd) Run(app *cli.App) error {
	found := api.CallExplanation{Calls: []api.UnansweredCall{}}
	var b strings.Builder
	for _, host := range c.Host {
		operator, err := app.OperatorAt(host)
		if err != nil {
			return err
		}
		var e api.CallExplanation
		if err := operator.Get(app.Context, "/v1/explain/call?key="+url.QueryEscape(c.Key), &e); err != nil {
			fmt.Fprintf(&b, "warning: host %s: not reached\n", host)
			continue
		}
		found.Calls = append(found.Calls, e.Calls...)
	}
	slices.SortFunc(found.Calls, func(a, b api.UnansweredCall) int { return cmp.Compare(a.AtMS, b.AtMS) })
	for _, x := range found.Calls {
		fmt.Fprintf(&b, "%s host %s team %s %s/%s attempt %d: %s (%s)\n", time.UnixMilli(int64(x.AtMS)).UTC().Format("15:04:05.000"),
			x.HostID, x.Team, x.Service, x.Method, x.Attempt, x.Outcome, x.Reason)
	}
	if len(found.Calls) == 0 {
		b.WriteString("no host that was reached remembers a call with this key that ended without an answer\n")
	}
	return app.Print(b.String(), found)
}
