// Package examples holds the example lists of the two deployments, for the demo and for tests.
package examples

import _ "embed"

// BlueMahoeLists are the lists of Blue Mahoe Strainer Supply, JSON with comments.
//
//go:embed blue-mahoe/lists.json
var BlueMahoeLists string

// OrchardsLists are the lists of the orchards service, JSON with comments.
//
//go:embed orchards/lists.json
var OrchardsLists string
