package cli

import (
	"fmt"
	"strings"

	"samphirewell/internal/api"
	"samphirewell/internal/client"
	"samphirewell/internal/config"
)

type listsCmd struct {
	Check listsCheckCmd `cmd:"" help:"Check a file of lists without a host; every problem is reported with its line."`
	Show  listsShowCmd  `cmd:"" help:"Show the lists in force, in a form that can be edited and put."`
	Put   listsPutCmd   `cmd:"" help:"Replace the lists, if they are still at the version that was read."`
	Diff  listsDiffCmd  `cmd:"" help:"Show what putting a file would change."`
}

type listsCheckCmd struct {
	File string `arg:"" type:"existingfile" help:"Lists in JSON with comments."`
}

// Run checks the file.
func (c *listsCheckCmd) Run(app *App) error {
	_, lists, err := readLists(c.File)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%s: valid; %d failure domains, %d teams, %d plans\n", c.File, len(lists.FailureDomains), len(lists.Teams), len(lists.Plans))
	return app.Print(text, lists)
}

type listsShowCmd struct{}

// Run shows the lists with their version in a comment, so that the output is a valid file.
func (c *listsShowCmd) Run(app *App) error {
	operator, err := app.Operator()
	if err != nil {
		return err
	}
	row, err := operator.Lists(app.Context)
	if err != nil {
		return err
	}
	head := fmt.Sprintf("// Version %d by %s.\n", row.Version, oneLine(row.Author))
	return app.Print(head+strings.TrimRight(row.Text, "\n")+"\n", row)
}

type listsPutCmd struct {
	File      string `arg:"" type:"existingfile" help:"Lists in JSON with comments."`
	Version   int    `required:"" help:"Version that the file is based on; 0 for the first lists."`
	Author    string `help:"Name of the operator." env:"USER" default:"operator"`
	RequestID string `help:"Id of the change; give the same one to repeat a change whose outcome is not known." placeholder:"ID"`
}

// Run checks the file and replaces the lists.
func (c *listsPutCmd) Run(app *App) error {
	text, _, err := readLists(c.File)
	if err != nil {
		return err
	}
	operator, err := app.Operator()
	if err != nil {
		return err
	}
	if c.RequestID == "" {
		c.RequestID = client.NewKey()
	}
	change := api.PutListsRequest{Author: c.Author, RequestID: c.RequestID, Text: text}
	response, err := operator.PutLists(app.Context, c.Version, change)
	if err != nil {
		if ExitCode(err) == ExitUnknown {
			_, _ = fmt.Fprintf(app.Stderr, "To learn the outcome, repeat the command with --request-id %s\n", c.RequestID)
		}
		return err
	}
	return app.Print(fmt.Sprintf("version %d accepted\n", response.Version), response)
}

type listsDiffCmd struct {
	File string `arg:"" type:"existingfile" help:"Lists in JSON with comments."`
}

// Run compares the file with the lists in force.
func (c *listsDiffCmd) Run(app *App) error {
	_, lists, err := readLists(c.File)
	if err != nil {
		return err
	}
	operator, err := app.Operator()
	if err != nil {
		return err
	}
	row, err := operator.Lists(app.Context)
	if err != nil {
		return err
	}
	current, err := config.AcceptedFromRow(row)
	if err != nil {
		return err
	}
	changes := append([]string{}, config.Diff(current.Lists, lists)...)
	text := fmt.Sprintf("compared with version %d by %s:\n", row.Version, row.Author)
	if len(changes) == 0 {
		text += "no differences\n"
	}
	for _, line := range changes {
		text += line + "\n"
	}
	return app.Print(text, api.ListsConflict{ReadVersion: row.Version, CurrentVersion: row.Version, Author: row.Author, Complete: true, Changes: changes})
}

// readLists reads and checks a file of lists. The error is settings.Problems or *UsageError.
func readLists(file string) (string, api.Lists, error) {
	text, err := readFile(file)
	if err != nil {
		return "", api.Lists{}, err
	}
	lists, err := config.ParseLists(file, text)
	return string(text), lists, err
}

// oneLine replaces line breaks in s by spaces, because a line break would end the comment that s is written into.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
