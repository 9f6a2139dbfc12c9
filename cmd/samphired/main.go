// Command samphired is the entry host daemon.
package main

import (
	"os"

	"samphirewell/internal/cli"
	"samphirewell/internal/entry"
	"samphirewell/platform"
)

func main() {
	os.Exit(cli.RunDaemon(cli.OSEnv(), os.Args[1:], entry.Serve, platform.Run))
}
