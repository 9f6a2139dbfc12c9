// Package version holds the version of the two binaries.
package version

// Version is the release version, set at link time with -ldflags "-X samphirewell/internal/version.Version=...".
var Version = "0.1.0-dev"
