package sched

import (
	"testing"

	"github.com/rosemaryhill/rosemaryhill/core/proptest"
)

// TestMain raises the number of random runs per property: 100 runs miss faults that need three
// operations in a row.
func TestMain(m *testing.M) { proptest.Main(m, proptest.Flags{"seed": "20260917", "checks": "500"}) }
