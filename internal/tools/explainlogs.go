package tools

import (
	"os"

	"github.com/pkg/errors"

	"samphirewell/internal/cli"
	"samphirewell/internal/logread"
)

type explainLogsCmd struct {
	Job  string   `arg:"" help:"Job id."`
	File []string `arg:"" type:"existingfile" help:"Log files of hosts, in any order."`
}

// Run prints the log lines about a job from the log files of several hosts, in causal order as far as the logs show it.
func (c *explainLogsCmd) Run(app *cli.App) error {
	var lines []logread.Line
	for _, name := range c.File {
		var err error
		if lines, err = readLog(name, c.Job, lines); err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return &cli.UsageError{Message: "no log line mentions job " + c.Job}
	}
	logread.Order(lines)
	return app.Print(logread.Text(lines), lines)
}

func readLog(name, job string, lines []logread.Line) ([]logread.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = f.Close() }()
	lines, _, err = logread.Read(f, job, lines)
	return lines, err
}
