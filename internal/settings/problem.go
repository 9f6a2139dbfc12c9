package settings

import (
	"fmt"
	"strings"
)

// Problem is one error in a document: its location, and the expected and the actual value.
type Problem struct {
	File     string // name of the document as given by the caller
	Line     int    // line in the document, from 1
	Path     string // JSON pointer of the value, "/" for the whole document
	Expected string // what a valid document has at this place
	Got      string // what was found
}

// String formats the problem as "file:line: path: expected X, got Y".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: expected %s, got %s", p.File, p.Line, p.Path, p.Expected, p.Got)
}

// Problems is the error of a refused document. It lists every problem in document order.
type Problems []Problem

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
