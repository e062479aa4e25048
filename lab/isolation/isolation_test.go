package isolation

import (
	"context"
	"flag"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// portFlag is between the ports of other tests.
var portFlag = flag.Int("first.port", 18_900, "first port of the hosts and stand-ins")

// Guards against an experiment that counts no attempts, cuts off the wrong hosts or breaks a promise to callers by itself.
func TestRunCountsBothSides(t *testing.T) {
	c := qt.New(t)
	res, err := Run(context.Background(), Config{
		Cut: standin.CutRefuse, Set: Sets[1], Load: Loads[0], During: DetectionTime + 2*time.Second, Port: *portFlag,
	})
	c.Assert(err, qt.IsNil)
	var text strings.Builder
	c.Assert(NewTable(&text).Add(res), qt.IsNil)
	t.Log("\n" + text.String())
	for _, path := range columns {
		c.Check(res.Isolated[path].Sent > 0 && res.Others[path].Sent > res.Isolated[path].Sent, qt.IsTrue, qt.Commentf("%s: %+v", path, res))
		c.Check(res.Others[path].Served, qt.Equals, res.Others[path].Sent, qt.Commentf("%s: %+v", path, res))
	}
	c.Check(res.Broken, qt.HasLen, 0)
}
