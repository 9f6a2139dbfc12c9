package applier

import (
	"flag"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
)

// TestMain fixes the seed of property tests, so that every run gives the same result. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	logrus.SetLevel(logrus.ErrorLevel)
	os.Exit(m.Run())
}
