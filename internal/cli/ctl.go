package cli

import (
	"fmt"
	"strings"

	"samphirewell/internal/client"
)

const ctlDescription = "Command line of operators and callers of samphirewell."

// Globals are the options that all commands of samphirectl share.
type Globals struct {
	URL           []string `help:"Base URLs of the caller ports of entry hosts or of the balancer, tried in turn." env:"SAMPHIRE_URL" default:"http://127.0.0.1:7001" placeholder:"URL"`
	OperatorURL   string   `help:"Base URL of the operator endpoint of one entry host." env:"SAMPHIRE_OPERATOR_URL" default:"http://127.0.0.1:7003" placeholder:"URL"`
	OperatorToken string   `help:"File with the bearer token of the operator endpoint; else the token is taken from SAMPHIRE_OPERATOR_TOKEN." type:"path" name:"operator-token-file" placeholder:"FILE"`
	TokenValue    string   `hidden:"" env:"SAMPHIRE_OPERATOR_TOKEN" name:"operator-token"`
	Output        string   `help:"Form of the output: text or json." enum:"text,json" default:"text"`
}

// ctl is the command-line grammar of samphirectl.
type ctl struct {
	Globals
	Lists  listsCmd  `cmd:"" help:"Check, show, compare and replace the operators' two lists."`
	Call   callCmd   `cmd:"" help:"Call a service."`
	Job    jobCmd    `cmd:"" help:"Submit, show, list and cancel jobs."`
	Status statusCmd `cmd:"" help:"Show the state of an entry host."`
	Drain  drainCmd  `cmd:"" help:"Stop an entry host gracefully."`
}

// RunCtl runs samphirectl with the given arguments and returns its exit code. Extra commands are added to the grammar.
func RunCtl(env Env, args []string, extra ...Command) int {
	var grammar ctl
	ctx, code := parse(env, "samphirectl", ctlDescription, &grammar, args, extra)
	if code >= 0 {
		return code
	}
	app := &App{Env: env, Globals: grammar.Globals}
	err := ctx.Run(app)
	if err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "samphirectl: %v\n", err)
	}
	return ExitCode(err)
}

// Client returns a client for the caller ports.
func (a *App) Client() (*client.Client, error) { return client.New(a.Clock, a.URL...) }

// Operator returns a client for the operator endpoint. The error is *UsageError if no token is given.
func (a *App) Operator() (*client.Operator, error) { return a.OperatorAt(a.OperatorURL) }

// OperatorAt returns a client for the operator endpoint at url, with the same token. The error is *UsageError if no token is given.
func (a *App) OperatorAt(url string) (*client.Operator, error) {
	token := a.TokenValue
	if a.OperatorToken != "" {
		text, err := readFile(a.OperatorToken)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return nil, &UsageError{Message: "no operator token: use --operator-token-file or SAMPHIRE_OPERATOR_TOKEN"}
	}
	return client.NewOperator(a.Clock, url, token)
}
