package drain

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless one is given, so that each run has one verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, v := range map[string]string{"rapid.seed": "20261", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, v)
		}
	}
	os.Exit(m.Run())
}
