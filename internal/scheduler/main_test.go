package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that every run gives the same result. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
