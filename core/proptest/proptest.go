// Package proptest sets the flags of property tests, including a fixed seed, so that every run of a test
// has the same result.
package proptest

import (
	"flag"
	"maps"
	"os"
	"testing"
)

// Flags maps names of rapid's flags, without the prefix "rapid.", to values.
type Flags map[string]string

// Main runs the tests of a package; call it from TestMain. By default the seed is 20261 and failing
// inputs aren't written to files. values override these defaults, and flags on the command line
// override both.
func Main(m *testing.M, values Flags) {
	flag.Parse()
	onCommandLine := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { onCommandLine[f.Name] = true })
	merged := Flags{"seed": "20261", "nofailfile": "true"}
	maps.Copy(merged, values)
	for name, v := range merged {
		if name = "rapid." + name; onCommandLine[name] {
			continue
		}
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
