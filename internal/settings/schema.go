package settings

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"samphirewell/schema"
)

// checker is a compiled definition of a schema and the defaults of its properties.
type checker struct {
	schema   *jsonschema.Schema
	defaults []byte // JSON object
}

var checkers sync.Map // "file#def" -> checker

// checkerFor returns the checker of a definition, which it compiles on first use and caches.
func checkerFor(file, def string) (checker, error) {
	id := file + "#/$defs/" + def
	if c, ok := checkers.Load(id); ok {
		return c.(checker), nil
	}
	text, err := schema.Files.ReadFile(file)
	if err != nil {
		return checker{}, errors.Wrap(err, "read schema")
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return checker{}, errors.Wrapf(err, "parse schema %s", file)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(file, doc); err != nil {
		return checker{}, errors.Wrapf(err, "add schema %s", file)
	}
	s, err := compiler.Compile(id)
	if err != nil {
		return checker{}, errors.Wrapf(err, "compile schema %s", id)
	}
	defaults, err := defaultsOf(text, def)
	if err != nil {
		return checker{}, errors.Wrapf(err, "read defaults of %s", id)
	}
	c := checker{schema: s, defaults: defaults}
	checkers.Store(id, c)
	return c, nil
}

// defaultsOf collects the defaults of the direct properties of a definition as one JSON object.
func defaultsOf(text []byte, def string) ([]byte, error) {
	var file struct {
		Defs map[string]struct {
			Properties map[string]struct {
				Default json.RawMessage `json:"default"`
			} `json:"properties"`
		} `json:"$defs"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	defaults := map[string]json.RawMessage{}
	for name, property := range file.Defs[def].Properties {
		if property.Default != nil {
			defaults[name] = property.Default
		}
	}
	return json.Marshal(defaults)
}
