package quarantine

import (
	"testing"

	"github.com/rosemaryhill/rosemaryhill/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, nil) }
