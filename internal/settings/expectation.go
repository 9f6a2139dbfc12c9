package settings

import (
	"fmt"
	"math/big"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// appendProblems appends a problem to list for each leaf of the validation error.
func (d *Document) appendProblems(e *jsonschema.ValidationError, list Problems) Problems {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			list = d.appendProblems(cause, list)
		}
		return list
	}
	path := jsonPointer(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			list = append(list, d.Problem(joinPointer(path, name), "a key of the schema", fmt.Sprintf("unknown key %q", name)))
		}
	case *kind.Required:
		for _, name := range k.Missing {
			list = append(list, d.Problem(joinPointer(path, name), "a value", "nothing"))
		}
	default:
		expected, got := describeMismatch(e.ErrorKind)
		list = append(list, d.Problem(path, expected, got))
	}
	return list
}

// describeMismatch describes what a keyword of the schema expects and what the document contains.
func describeMismatch(k jsonschema.ErrorKind) (expected, got string) {
	switch k := k.(type) {
	case *kind.Type:
		return strings.Join(k.Want, " or "), k.Got
	case *kind.Enum:
		return "one of " + quoteAll(k.Want), fmt.Sprintf("%q", fmt.Sprint(k.Got))
	case *kind.Minimum:
		return "at least " + formatNumber(k.Want), formatNumber(k.Got)
	case *kind.ExclusiveMinimum:
		return "more than " + formatNumber(k.Want), formatNumber(k.Got)
	case *kind.Maximum:
		return "at most " + formatNumber(k.Want), formatNumber(k.Got)
	case *kind.MinLength:
		return fmt.Sprintf("at least %d characters", k.Want), fmt.Sprintf("%d characters", k.Got)
	case *kind.MaxLength:
		return fmt.Sprintf("at most %d characters", k.Want), fmt.Sprintf("%d characters", k.Got)
	case *kind.MinItems:
		return fmt.Sprintf("at least %d entries", k.Want), fmt.Sprintf("%d entries", k.Got)
	}
	return "a value of the schema", k.LocalizedString(message.NewPrinter(language.English))
}

func formatNumber(r *big.Rat) string {
	f, _ := r.Float64()
	return fmt.Sprint(f)
}

func quoteAll(values []any) string {
	list := make([]string, len(values))
	for i, v := range values {
		list[i] = fmt.Sprintf("%q", fmt.Sprint(v))
	}
	return strings.Join(list, ", ")
}

// pointerEscaper escapes a token of a JSON pointer (RFC 6901).
var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

// jsonPointer formats a location as a JSON pointer; the whole document is "/".
func jsonPointer(location []string) string {
	if len(location) == 0 {
		return "/"
	}
	var b strings.Builder
	for _, token := range location {
		b.WriteString("/" + pointerEscaper.Replace(token))
	}
	return b.String()
}

func joinPointer(path, name string) string {
	return strings.TrimSuffix(path, "/") + "/" + pointerEscaper.Replace(name)
}
