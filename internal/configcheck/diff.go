package configcheck

import (
	"fmt"
	"strings"
)

// Change is one difference between two configurations. It never contains the text of a key.
type Change struct {
	Kind  string `json:"kind"`            // added, removed or changed
	Entry string `json:"entry,omitempty"` // kind and name, such as: queue "fast"; empty for values of the whole configuration
	Path  string `json:"path"`            // JSON pointer in the new configuration; in the old one for what is removed
	Field string `json:"field,omitempty"` // name of a changed field, as in the document
	Old   any    `json:"old,omitempty"`
	New   any    `json:"new,omitempty"`
}

// String returns the change in words.
func (c Change) String() string {
	if c.Kind != changed {
		return fmt.Sprintf("%s (%s) %s", c.Entry, c.Path, c.Kind)
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s (%s): %s -> %s", c.Entry, c.Field, c.Path, inWords(c.Old), inWords(c.New)))
}

func inWords(v any) string {
	if v == nil {
		return "not set"
	}
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprint(v)
}

const (
	added   = "added"
	removed = "removed"
	changed = "changed"
)

// Diff returns the differences between two configurations. Entries are matched by name, so that their order doesn't count; entries that hold the same
// name are matched in their order.
func Diff(from, to *Config) []Change {
	var d differ
	compare(&d, "", from.Version, to.Version)
	compare(&d, "", from.MaxBodyBytes, to.MaxBodyBytes)
	entries(&d, "queue", from.Queues, to.Queues, func(q *Queue) (string, string) { return q.Name.V, q.Path }, d.queue)
	entries(&d, "service", from.Services, to.Services, func(s *Service) (string, string) { return s.Name.V, s.Path }, d.service)
	entries(&d, "team", from.Teams, to.Teams, func(t *Team) (string, string) { return t.Name.V, t.Path }, d.team)
	return d.changes
}

type differ struct{ changes []Change }

// entries compares two lists of entries. identify returns name and path of an entry, both compares two entries of the same name.
func entries[T any](d *differ, kind string, from, to []T, identify func(*T) (name, path string), both func(entry string, from, to *T)) {
	old := map[string][]*T{}
	for i := range from {
		name, _ := identify(&from[i])
		old[name] = append(old[name], &from[i])
	}
	matched := map[*T]bool{}
	for i := range to {
		name, path := identify(&to[i])
		entry := fmt.Sprintf("%s %q", kind, name)
		if len(old[name]) == 0 {
			d.changes = append(d.changes, Change{Kind: added, Entry: entry, Path: path})
			continue
		}
		matched[old[name][0]] = true
		both(entry, old[name][0], &to[i])
		old[name] = old[name][1:]
	}
	for i := range from {
		if name, path := identify(&from[i]); !matched[&from[i]] {
			d.changes = append(d.changes, Change{Kind: removed, Entry: fmt.Sprintf("%s %q", kind, name), Path: path})
		}
	}
}

// compare adds a change if two values differ. A value that isn't given counts as the zero value.
func compare[T comparable](d *differ, entry string, from, to Value[T]) {
	if from.V != to.V {
		d.changes = append(d.changes, Change{Kind: changed, Entry: entry, Path: to.Path, Field: fieldOf(to.Path), Old: given(from), New: given(to)})
	}
}

func given[T any](v Value[T]) any {
	if !v.Given {
		return nil
	}
	return v.V
}

func fieldOf(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

func (d *differ) queue(entry string, from, to *Queue) {
	compare(d, entry, from.Host, to.Host)
	compare(d, entry, from.Prefix, to.Prefix)
	compare(d, entry, from.Service, to.Service)
	compare(d, entry, from.Priority, to.Priority)
	compare(d, entry, from.Attempts, to.Attempts)
	compare(d, entry, from.Stretch, to.Stretch)
	compare(d, entry, from.TargetMS, to.TargetMS)
	compare(d, entry, from.Public, to.Public)
	if from.Advice.Given != to.Advice.Given {
		kind := removed
		if to.Advice.Given {
			kind = added
		}
		d.changes = append(d.changes, Change{Kind: kind, Entry: entry + " " + fieldOf(to.Advice.Path), Path: to.Advice.Path})
		return
	}
	compare(d, entry, from.Advice.PerRequestMS, to.Advice.PerRequestMS)
	compare(d, entry, from.Advice.PerWorkerMS, to.Advice.PerWorkerMS)
	compare(d, entry, from.Advice.TicketTTLMS, to.Advice.TicketTTLMS)
}

func (d *differ) service(entry string, from, to *Service) {
	compare(d, entry, from.EnforcesCapacity, to.EnforcesCapacity)
	compare(d, entry, from.PoweredOff, to.PoweredOff)
}

func (d *differ) team(entry string, from, to *Team) {
	compare(d, entry, from.GuaranteedAccelerators, to.GuaranteedAccelerators)
	old := map[string]int{}
	for _, k := range from.Keys {
		old[k.V]++
	}
	for _, k := range to.Keys {
		if old[k.V] > 0 {
			old[k.V]--
			continue
		}
		d.changes = append(d.changes, Change{Kind: added, Entry: entry + " key", Path: k.Path})
	}
	for _, k := range from.Keys {
		if old[k.V] > 0 {
			old[k.V]--
			d.changes = append(d.changes, Change{Kind: removed, Entry: entry + " key", Path: k.Path})
		}
	}
}
