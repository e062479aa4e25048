package ident

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a revision of an earlier era that counts as later, and against parts that run into each other.
func TestRevision(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		era, number uint64
		ok          bool
		text        string
	}{
		{0, 0, true, "0"}, {0, MaxNumber, true, "17592186044415"}, {1, 0, true, "1/0"}, {MaxEra, MaxNumber, true, "1048575/17592186044415"},
		{0, MaxNumber + 1, false, "0"}, {MaxEra + 1, 0, false, "0"}, {math.MaxUint64, math.MaxUint64, false, "0"},
	} {
		r, ok := NewRevision(x.era, x.number)
		c.Check(ok, qt.Equals, x.ok)
		c.Check(r.String(), qt.Equals, x.text)
		if ok {
			c.Check([]uint64{r.Era(), r.Number()}, qt.DeepEquals, []uint64{x.era, x.number})
		}
	}
	early, _ := NewRevision(1, MaxNumber)
	late, _ := NewRevision(2, 0)
	c.Check(early < late, qt.IsTrue)
}
