// Package configcheck checks an operator's configuration before it is sent, and compares it with the version in force. It works on neutral types, in
// which each value carries its path in the document; the package that knows the names on the wire decodes into them. All functions are pure.
package configcheck

import (
	"cmp"
	"slices"
	"strings"
)

// Value is a value of a configuration.
type Value[T any] struct {
	V     T
	Path  string // JSON pointer (RFC 6901) of the value, also if it isn't given
	Given bool   // the document has a usable value at the path
}

// Queue is an endpoint that accepts jobs.
type Queue struct {
	Path     string
	Name     Value[string]
	Host     Value[string]
	Prefix   Value[string] // of the path; the rest of the path is the id of a job
	Service  Value[string]
	Priority Value[int64]
	Attempts Value[int64]
	Stretch  Value[float64]
	TargetMS Value[int64]
	Public   Value[bool]
	Advice   Advice
}

// Advice holds the times of the adviser for one queue; Given is false if the queue needs no advice.
type Advice struct {
	Path         string
	Given        bool
	PerRequestMS Value[int64]
	PerWorkerMS  Value[int64]
	TicketTTLMS  Value[int64]
}

// Service is a pool of workers.
type Service struct {
	Path             string
	Name             Value[string]
	EnforcesCapacity Value[bool]
	PoweredOff       Value[bool]
}

// Team is a customer.
type Team struct {
	Path                   string
	Name                   Value[string]
	Keys                   []Value[string]
	KeysPath               string
	GuaranteedAccelerators Value[int64]
}

// Config is one version of an operator's configuration.
type Config struct {
	Version      Value[int64]
	Queues       []Queue
	Services     []Service
	Teams        []Team
	TeamsPath    string
	MaxBodyBytes Value[int64]
}

// Document is a decoded configuration file.
type Document struct {
	Config   Config
	Problems []Finding      // found while decoding: values of a wrong type, unknown and repeated fields
	Lines    map[string]int // line of each value by its path, from 1

	SmallestJobBytes int // length of the shortest submission that is valid, in bytes
	LargestBodyBytes int // longest body that a host reads, in bytes
}

// line returns the line of the value at the path, or of its nearest parent that exists.
func (d *Document) line(path string) int {
	for {
		if n, ok := d.Lines[path]; ok {
			return n
		}
		i := strings.LastIndexByte(path, '/')
		if i <= 0 {
			return max(1, d.Lines["/"])
		}
		path = path[:i]
	}
}

// Severity tells how certain it is that a finding is a mistake.
type Severity string

// Severities.
const (
	Error   Severity = "error"   // the configuration can't work as written
	Warning Severity = "warning" // hosts accept it, but it may not be what was meant
)

// Finding is something wrong with a configuration. It never contains the text of a key.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     string   `json:"code"` // kind of the finding; stable, for scripts
	Path     string   `json:"path"` // JSON pointer; "/" for the whole document
	Line     int      `json:"line"`
	Reason   string   `json:"reason"`
}

// sortFindings adds the lines and sorts by them.
func (d *Document) sortFindings(list []Finding) []Finding {
	for i := range list {
		list[i].Line = d.line(list[i].Path)
	}
	slices.SortStableFunc(list, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return list
}
