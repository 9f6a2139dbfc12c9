package tools

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/cli"
	"samphirewell/internal/timeline"
)

type timelineCmd struct {
	Host   []string  `name:"host" required:"" help:"Operator URLs of the hosts to read, repeated or separated by commas."`
	Job    string    `help:"Only events of this job."`
	Team   string    `help:"Only events of this team."`
	Worker string    `help:"Only events of this worker."`
	HostID string    `name:"host-id" help:"Only events of this host."`
	Domain string    `help:"Only events of this failure domain."`
	From   time.Time `help:"Only events from this time on, RFC 3339."`
	To     time.Time `help:"Only events up to this time, RFC 3339."`
	JSONL  bool      `name:"json-lines" help:"Write one JSON object a line."`
	SVG    string    `name:"svg" type:"path" help:"Write a picture to this file." placeholder:"FILE"`
}

// maxPages is the limit on the pages read from one host; a ring holds fewer.
const maxPages = 32

// Run merges the timelines of the named hosts.
func (c *timelineCmd) Run(app *cli.App) error {
	var pages []api.TimelinePage
	var unreachable []string
	for _, url := range c.Host {
		got, err := readTimeline(app, url)
		if err != nil {
			unreachable = append(unreachable, fmt.Sprintf("%s (%v)", url, errors.Cause(err)))
			continue
		}
		pages = append(pages, got...)
	}
	merged := timeline.Merge(pages, unreachable, c.filter())
	if err := c.write(app, merged); err != nil {
		return err
	}
	if len(pages) == 0 {
		return &cli.UsageError{Message: "no host answered"}
	}
	return nil
}

func (c *timelineCmd) filter() timeline.Filter {
	f := timeline.Filter{JobID: c.Job, Team: c.Team, WorkerID: c.Worker, HostID: c.HostID, FailureDomain: c.Domain}
	if !c.From.IsZero() {
		f.FromMs = int(c.From.UnixMilli())
	}
	if !c.To.IsZero() {
		f.ToMs = int(c.To.UnixMilli())
	}
	return f
}

func (c *timelineCmd) write(app *cli.App, m timeline.Merged) error {
	if c.SVG != "" {
		f, err := os.Create(c.SVG)
		if err != nil {
			return &cli.UsageError{Message: err.Error()}
		}
		defer func() { _ = f.Close() }()
		return timeline.WriteSVG(f, m)
	}
	if c.JSONL || app.Output == "json" {
		return timeline.WriteJSONLines(app.Stdout, m)
	}
	return timeline.WriteText(app.Stdout, m)
}

// readTimeline reads all pages of one host.
func readTimeline(app *cli.App, url string) ([]api.TimelinePage, error) {
	operator, err := app.OperatorAt(url)
	if err != nil {
		return nil, err
	}
	var pages []api.TimelinePage
	for from := 1; len(pages) < maxPages; {
		var page api.TimelinePage
		if err := operator.Get(app.Context, fmt.Sprintf("/v1/timeline?from=%d", from), &page); err != nil {
			return nil, err
		}
		pages = append(pages, page)
		if len(page.Events) == 0 {
			break
		}
		from = page.Events[len(page.Events)-1].Seq + 1
	}
	return pages, nil
}
