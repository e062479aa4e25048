package sched

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that every run checks the same worlds, and raises the number of
// worlds: 100 miss faults that need three operations in a row. Flags override both.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20260917")
	}
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "500")
	}
	os.Exit(m.Run())
}
