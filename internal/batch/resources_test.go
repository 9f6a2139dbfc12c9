package batch

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a dominant share of the wrong resource, and against a division by a capacity that lacks a resource.
func TestDominantShare(t *testing.T) {
	capacity := Resources{MilliCores: 8000, MemoryMB: 1000}
	must.Eq(t, 0.5, Resources{MilliCores: 1000, MemoryMB: 500, Accelerators: 1}.DominantShare(capacity))
	must.Eq(t, 0.25, Resources{MilliCores: 1000}.Times(2).DominantShare(capacity))
	must.Eq(t, 0, Resources{Accelerators: 1}.DominantShare(Resources{}))
}
