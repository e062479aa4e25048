// Package proptest fixes the flags of property tests, so that each run of a test has one verdict.
package proptest

import (
	"flag"
	"maps"
	"os"
	"testing"
)

// Flags are values for flags of rapid by name, without the prefix "rapid.".
type Flags map[string]string

// Main runs the tests of a package; call it from TestMain. The seed is 20261 and failing inputs are not
// written to files, unless values say otherwise. A flag of the command line overrides both.
func Main(m *testing.M, values Flags) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	all := Flags{"seed": "20261", "nofailfile": "true"}
	maps.Copy(all, values)
	for name, v := range all {
		if name = "rapid." + name; given[name] {
			continue
		}
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
