package cli

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"samphirewell/internal/configcheck"
)

// ConfigDecoder decodes an operator's configuration of the users' platform. The error is that of a text that can't be read at all.
type ConfigDecoder func(text []byte) (*configcheck.Document, error)

// ConfigCommand returns the command "config" with the decoder of the platform, whose names on the wire this package doesn't know.
func ConfigCommand(decode ConfigDecoder) Command {
	return Command{Name: "config", Help: "Check the configuration of the users' platform.", Cmd: &configCmd{Check: configCheckCmd{decode: decode}}}
}

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check a configuration before it is sent. Exit codes: 0 no finding, 1 findings, 2 unreadable file or wrong usage."`
}

type configCheckCmd struct {
	File         string `arg:"" type:"existingfile" help:"Configuration to check, in JSON."`
	Against      string `type:"existingfile" help:"Configuration in force; the differences are shown, and the version has to be newer." placeholder:"CURRENT"`
	Accelerators int64  `help:"Accelerators of the fleet, which guarantees must not exceed." placeholder:"N"`
	JSON         bool   `help:"Write findings and differences as JSON, like --output json."`

	decode ConfigDecoder
}

// configReport is the JSON output of a check. Changes is null without --against.
type configReport struct {
	File     string                `json:"file"`
	Findings []configcheck.Finding `json:"findings"`
	Against  string                `json:"against,omitempty"`
	Changes  []configcheck.Change  `json:"changes"`
}

// Run checks the file. With findings, the error counts them.
func (c *configCheckCmd) Run(app *App) error {
	if c.Accelerators < 0 {
		return &UsageError{Message: "--accelerators must not be negative"}
	}
	doc, err := c.read(c.File)
	if err != nil {
		return err
	}
	options := configcheck.Options{Accelerators: c.Accelerators}
	report := configReport{File: c.File, Against: c.Against}
	if c.Against != "" {
		current, err := c.read(c.Against)
		if err != nil {
			return err
		}
		options.InForce = &current.Config
		report.Changes = append([]configcheck.Change{}, configcheck.Diff(&current.Config, &doc.Config)...)
	}
	report.Findings = append([]configcheck.Finding{}, configcheck.Check(doc, options)...)
	if c.JSON {
		app.Output = "json"
	}
	if err := app.Print(report.text(), report); err != nil {
		return err
	}
	if n := len(report.Findings); n > 0 {
		return errors.Errorf("%s: findings: %d", c.File, n)
	}
	return nil
}

func (c *configCheckCmd) read(file string) (*configcheck.Document, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	doc, err := c.decode(text)
	if err != nil {
		return nil, &UsageError{Message: file + ": " + err.Error()}
	}
	return doc, nil
}

func (r *configReport) text() string {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s:%d: %s: %s: %s [%s]\n", r.File, f.Line, f.Path, f.Severity, f.Reason, f.Code)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(&b, "%s: no findings\n", r.File)
	}
	if r.Against == "" {
		return b.String()
	}
	fmt.Fprintf(&b, "compared with %s:\n", r.Against)
	if len(r.Changes) == 0 {
		b.WriteString("no differences\n")
	}
	for _, change := range r.Changes {
		fmt.Fprintln(&b, change)
	}
	return b.String()
}
