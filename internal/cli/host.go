package cli

import (
	"fmt"
	"strings"
	"time"

	"samphirewell/internal/api"
)

type statusCmd struct{}

// Run shows the state of the host at the operator URL.
func (c *statusCmd) Run(app *App) error {
	operator, err := app.Operator()
	if err != nil {
		return err
	}
	status, err := operator.Status(app.Context)
	if err != nil {
		return err
	}
	return app.Print(renderStatus(status), status)
}

func renderStatus(s api.HostStatus) string {
	state := "not ready"
	if s.Ready {
		state = "ready"
	}
	if s.Draining {
		state += ", draining"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "host %s in %s (region %s): %s\n", s.HostID, s.FailureDomain, s.Region, state)
	fmt.Fprintf(&b, "release %s, up %s\n", s.BinaryVersion, time.Duration(s.UpMS)*time.Millisecond)
	if s.ConfigVersion == 0 {
		b.WriteString("lists: no version known\n")
	} else {
		fmt.Fprintf(&b, "lists: version %d (%.12s)\n", s.ConfigVersion, s.ConfigHash)
	}
	for _, p := range s.Parts {
		mark := "ok"
		if !p.Ok {
			mark = "NOT OK"
		}
		fmt.Fprintf(&b, "%s: %s, %s\n", p.Name, mark, p.Detail)
	}
	return b.String()
}

type drainCmd struct{}

// Run begins the graceful stop of the host at the operator URL.
func (c *drainCmd) Run(app *App) error {
	operator, err := app.Operator()
	if err != nil {
		return err
	}
	response, err := operator.Drain(app.Context)
	if err != nil {
		return err
	}
	return app.Print("the host is draining\n", response)
}
