// Package cli holds the commands of samphired and samphirectl. Their main packages only call RunDaemon and RunCtl.
package cli

import (
	"github.com/pkg/errors"

	"samphirewell/internal/client"
	"samphirewell/internal/outcome"
)

// Exit codes of both binaries.
const (
	ExitOK          = 0 // done
	ExitRefused     = 1 // refused: nothing was done
	ExitUsage       = 2 // wrong command line or unreadable file
	ExitUnreachable = 3 // no connection to the host: nothing was done
	ExitUnknown     = 4 // the outcome is not known: it may have been done
	ExitConflict    = 5 // another operator changed the lists first: nothing was done
)

const exitHelp = "Exit codes: 0 done; 1 refused, nothing was done; 2 wrong usage; 3 host not reachable, nothing was done; " +
	"4 outcome not known, it may have been done; 5 another operator changed the lists first, nothing was done."

// UsageError is a usage error that the command-line parser cannot detect, such as an unreadable file or a missing token.
type UsageError struct{ Message string }

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

// OutcomeError reports a call that was not answered.
type OutcomeError struct{ Outcome outcome.Outcome }

// Error returns the kind, the reason and the retry-after time of the outcome.
func (e *OutcomeError) Error() string {
	text := e.Outcome.Kind.String() + " (" + string(e.Outcome.Reason) + ")"
	if e.Outcome.RetryAfter > 0 {
		text += ", retry after " + e.Outcome.RetryAfter.String()
	}
	return text
}

// ExitCode maps the error of a command to an exit code.
func ExitCode(err error) int {
	var (
		usage    *UsageError
		conflict *client.ConflictError
		request  *client.Error
		call     *OutcomeError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &request):
		return outcomeCode(request.Outcome)
	case errors.As(err, &call):
		return outcomeCode(call.Outcome)
	}
	return ExitRefused
}

func outcomeCode(o outcome.Outcome) int {
	switch {
	case o.Kind == outcome.Answered:
		return ExitOK
	case o.Kind == outcome.Unknown:
		return ExitUnknown
	case o.Reason == client.Unreachable:
		return ExitUnreachable
	}
	return ExitRefused
}
