package cli

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"samphirewell/internal/api"
	"samphirewell/internal/client"
	"samphirewell/internal/settings"
)

type jobCmd struct {
	Submit jobSubmitCmd `cmd:"" help:"Submit a job. Submitting the same submission key again returns the same job."`
	Show   jobShowCmd   `cmd:"" help:"Show a job."`
	List   jobListCmd   `cmd:"" help:"List the jobs of a team."`
	Cancel jobCancelCmd `cmd:"" help:"Cancel a job."`
}

type jobSubmitCmd struct {
	File string `arg:"" type:"existingfile" help:"Job in JSON with comments."`
}

// Run checks the file against the schema and submits the job.
func (c *jobSubmitCmd) Run(app *App) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	doc, err := settings.Parse(c.File, text)
	if err != nil {
		return err
	}
	var spec api.JobSpec
	if err := doc.Decode("job.json", "JobSpec", &spec); err != nil {
		return err
	}
	return runJobRequest(app, func(jobs *client.Client) (api.JobRecord, error) { return jobs.SubmitJob(app.Context, spec) })
}

type jobShowCmd struct {
	ID   string `arg:"" name:"id" help:"Job id."`
	Team string `required:"" help:"Team of the job."`
}

// Run shows one job.
func (c *jobShowCmd) Run(app *App) error {
	return runJobRequest(app, func(jobs *client.Client) (api.JobRecord, error) { return jobs.GetJob(app.Context, c.Team, c.ID) })
}

type jobCancelCmd struct {
	ID   string `arg:"" name:"id" help:"Job id."`
	Team string `required:"" help:"Team of the job."`
}

// Run cancels one job.
func (c *jobCancelCmd) Run(app *App) error {
	return runJobRequest(app, func(jobs *client.Client) (api.JobRecord, error) { return jobs.CancelJob(app.Context, c.Team, c.ID) })
}

type jobListCmd struct {
	Team string `required:"" help:"Team whose jobs are listed."`
}

// Run lists jobs in a table.
func (c *jobListCmd) Run(app *App) error {
	jobs, err := app.Client()
	if err != nil {
		return err
	}
	records, err := jobs.ListJobs(app.Context, c.Team)
	if err != nil {
		return err
	}
	var b strings.Builder
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ID\tTEAM\tKIND\tPHASE\tPARTS\tDOMAIN\tSUBMITTED")
	for _, r := range records {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", r.ID, r.Spec.Team, r.Spec.Kind, r.Phase, r.Spec.Parts, r.FailureDomain, formatUnixMilli(r.SubmittedMS))
	}
	_ = table.Flush()
	return app.Print(b.String(), records)
}

// runJobRequest sends one job request and prints the job record that it returns.
func runJobRequest(app *App, request func(*client.Client) (api.JobRecord, error)) error {
	jobs, err := app.Client()
	if err != nil {
		return err
	}
	record, err := request(jobs)
	if err != nil {
		return err
	}
	return app.Print(renderJob(record), record)
}

func renderJob(r api.JobRecord) string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s of team %s: %s", r.ID, r.Spec.Team, r.Phase)
	if r.Reason != "" {
		fmt.Fprintf(&b, " (%s)", r.Reason)
	}
	fmt.Fprintf(&b, "\n%d parts (%d cores, %d GB, %d accelerators each) within one %s of %s\n", r.Spec.Parts, r.Spec.Cores,
		r.Spec.MemoryGb, r.Spec.Accelerators, r.Spec.Adjacency, r.FailureDomain)
	fmt.Fprintf(&b, "submitted %s, started %s, finished %s\n", formatUnixMilli(r.SubmittedMS), formatUnixMilli(r.StartedMS), formatUnixMilli(r.FinishedMS))
	fmt.Fprintf(&b, "preempted %d times, failed %d times\n", r.Preemptions, r.Failures)
	for _, p := range r.Placements {
		fmt.Fprintf(&b, "part %d on worker %s\n", p.Part, p.WorkerID)
	}
	return b.String()
}
