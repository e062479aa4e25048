package serverlimit

import (
	"testing"

	"github.com/rosemaryhill/rosemaryhill/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Flags{"checks": "60"}) }
