package cli

import (
	"strings"
	"time"

	"samphirewell/internal/client"
	"samphirewell/internal/outcome"
)

type callCmd struct {
	Service    string        `arg:"" help:"Service, for example order-desk."`
	Method     string        `arg:"" help:"Method of the service."`
	Team       string        `required:"" help:"Team under whose plan the call is made."`
	Class      string        `help:"Urgency: urgent, normal or batch." enum:"urgent,normal,batch" default:"normal"`
	Timeout    time.Duration `help:"Time for the call with all its attempts." default:"2s"`
	Repeatable bool          `help:"The call may run more than once."`
	Key        string        `help:"Idempotency key; a random one by default."`
	Data       string        `help:"Body of the call." xor:"body"`
	DataFile   string        `help:"File with the body of the call." type:"existingfile" xor:"body" placeholder:"FILE"`
}

// callResult is the JSON output of a call.
type callResult struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retryAfterMs"`
	Status       int    `json:"status"`
	Body         string `json:"body"`
}

// Run makes the call and prints the response. A call that was not answered ends with *OutcomeError.
func (c *callCmd) Run(app *App) error {
	body := []byte(c.Data)
	if c.DataFile != "" {
		text, err := readFile(c.DataFile)
		if err != nil {
			return err
		}
		body = text
	}
	caller, err := app.Client()
	if err != nil {
		return err
	}
	got := caller.Call(app.Context, client.Call{
		Service: c.Service, Method: c.Method, Team: c.Team, Class: client.Class(c.Class), Timeout: c.Timeout,
		Repeatable: c.Repeatable, Key: c.Key, Body: body,
	})
	result := callResult{got.Kind.String(), string(got.Reason), got.RetryAfter.Milliseconds(), got.Status, string(got.Body)}
	text := ""
	if got.Kind == outcome.Answered {
		text = strings.TrimRight(string(got.Body), "\n") + "\n"
	}
	if err := app.Print(text, result); err != nil {
		return err
	}
	if got.Kind != outcome.Answered {
		return &OutcomeError{Outcome: got}
	}
	return nil
}
