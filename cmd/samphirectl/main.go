// Command samphirectl is the command line tool of operators and callers.
package main

import (
	"os"

	"samphirewell/internal/cli"
	"samphirewell/internal/tools"
	"samphirewell/platform"
)

func main() {
	os.Exit(cli.RunCtl(cli.OSEnv(), os.Args[1:], append(tools.Commands(), cli.ConfigCommand(platform.DecodeConfigDocument))...))
}
