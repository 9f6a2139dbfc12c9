// Package schema embeds the JSON schemas of the settings, the operators' lists and the messages.
package schema

import "embed"

// Files holds every schema file of this directory, for example settings.json.
//
//go:embed *.json
var Files embed.FS
