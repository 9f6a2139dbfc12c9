package tools

import (
	"github.com/sirupsen/logrus"

	"samphirewell/internal/bench/capacity"
	"samphirewell/internal/cli"
)

type capacityCmd struct{}

// Run measures how cost grows with size and prints the slopes and the values at the target size.
func (c *capacityCmd) Run(app *cli.App) error {
	logrus.SetLevel(logrus.WarnLevel) // each caller server logs its start at a lower level
	report, err := capacity.Run(app.Context, capacity.Full(), app.Stderr)
	if err != nil {
		return err
	}
	if app.Output == "json" {
		return report.WriteJSON(app.Stdout)
	}
	return report.WriteText(app.Stdout)
}
