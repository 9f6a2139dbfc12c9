package policybench

import (
	"os"
	"strings"
	"testing"
	"time"
)

// Prints the full table if POLICYBENCH=full is set. POLICYBENCH_MIX selects the mixes whose names contain it.
func TestFullTable(t *testing.T) {
	if os.Getenv("POLICYBENCH") != "full" {
		t.Skip("set POLICYBENCH=full")
	}
	cfg := DefaultConfig()
	var mixes []Mix
	for _, m := range cfg.Mixes {
		if strings.Contains(m.Name, os.Getenv("POLICYBENCH_MIX")) {
			mixes = append(mixes, m)
		}
	}
	cfg.Mixes = mixes
	begin := time.Now()
	if err := Run(cfg).Write(os.Stdout); err != nil {
		t.Fatal(err)
	}
	t.Logf("took %v", time.Since(begin))
}
