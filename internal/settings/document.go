// Package settings loads documents in JSON with comments, checks them against a schema of the project and reports all problems together, each with
// file, line, path and expected value. It contains the loader of the host settings; package config uses it for the operators' lists.
package settings

import (
	"bytes"
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/tailscale/hujson"
)

// Document is a parsed text in JSON with comments. It keeps the position of each value, so that problems can name the line.
type Document struct {
	file string
	text []byte // the text as given
	json []byte // standard JSON of the same length, so offsets and lines agree
	root hujson.Value
}

// Parse reads a text in JSON with comments and trailing commas. Name is used only in problem reports. The error is Problems.
func Parse(name string, text []byte) (*Document, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Problems{{name, syntaxLine(err), "/", "JSON with comments", err.Error()}}
	}
	standard := root.Clone()
	standard.Standardize()
	d := &Document{file: name, text: text, json: standard.Pack(), root: root}
	if duplicates := d.duplicateKeys(&d.root, "/"); len(duplicates) > 0 {
		return nil, duplicates
	}
	return d, nil
}

// syntaxLine extracts the line number from an error of hujson, which contains it only in its text.
func syntaxLine(err error) int {
	_, rest, _ := strings.Cut(err.Error(), "line ")
	number, _, _ := strings.Cut(rest, ",")
	if line, err := strconv.Atoi(number); err == nil {
		return line
	}
	return 1
}

// Problem returns a problem at the value with the JSON pointer path. A missing value is reported at its nearest parent.
func (d *Document) Problem(path, expected, got string) Problem {
	return Problem{File: d.file, Line: d.line(path), Path: path, Expected: expected, Got: got}
}

// Decode checks the document against definition def of schema file schemaFile, fills in the defaults of the schema and stores the result in out. An
// invalid document gives Problems; other errors mean that the schema itself cannot be used.
func (d *Document) Decode(schemaFile, def string, out any) error {
	checker, err := checkerFor(schemaFile, def)
	if err != nil {
		return err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(d.json))
	if err != nil {
		return Problems{d.Problem("/", "JSON with comments", err.Error())}
	}
	if err := checker.schema.Validate(value); err != nil {
		return d.problemsOf(err)
	}
	return d.unmarshal(checker.defaults, out)
}

// unmarshal stores the defaults and then the document in out, so that values of the document take precedence.
func (d *Document) unmarshal(defaults []byte, out any) error {
	if err := json.Unmarshal(defaults, out); err != nil {
		return errors.Wrap(err, "defaults of the schema do not fit the generated type")
	}
	err := json.Unmarshal(d.json, out)
	if err == nil {
		return nil
	}
	// The schema accepts 1.0 and 1e300 as integers, but the Go type cannot represent them.
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		path := "/" + strings.ReplaceAll(mismatch.Field, ".", "/")
		return Problems{{d.file, d.lineAt(int(mismatch.Offset)), path, "a value of type " + mismatch.Type.String(), mismatch.Value}}
	}
	return Problems{d.Problem("/", "a document of the schema", err.Error())}
}

func (d *Document) problemsOf(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return errors.Wrap(err, "check against the schema")
	}
	problems := d.appendProblems(invalid, nil)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
	return problems
}

// line returns the line of the value at path, or of its nearest parent that exists.
func (d *Document) line(path string) int {
	for pointer := strings.TrimSuffix(path, "/"); pointer != ""; pointer = pointer[:strings.LastIndexByte(pointer, '/')] {
		if v := d.root.Find(pointer); v != nil {
			return d.lineAt(v.StartOffset)
		}
	}
	return d.lineAt(d.root.StartOffset)
}

func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.text[:min(offset, len(d.text))], []byte("\n"))
}

// duplicateKeys finds object members with the same name below v, of which a JSON decoder would silently keep only the last.
func (d *Document) duplicateKeys(v *hujson.Value, path string) Problems {
	var problems Problems
	switch composite := v.Value.(type) {
	case *hujson.Array:
		for i := range composite.Elements {
			problems = append(problems, d.duplicateKeys(&composite.Elements[i], joinPointer(path, strconv.Itoa(i)))...)
		}
	case *hujson.Object:
		seen := make(map[string]bool, len(composite.Members))
		for i := range composite.Members {
			member := &composite.Members[i]
			name := member.Name.Value.(hujson.Literal).String()
			memberPath := joinPointer(path, name)
			if seen[name] {
				problems = append(problems, Problem{d.file, d.lineAt(member.Name.StartOffset), memberPath, "each key once", "a repeated key"})
			}
			seen[name] = true
			problems = append(problems, d.duplicateKeys(&member.Value, memberPath)...)
		}
	}
	return problems
}
