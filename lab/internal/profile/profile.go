// Package profile reads the profiles of the policy comparisons.
package profile

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// dir is where a comparison keeps its shipped profiles.
const dir = "profiles"

// Load reads a shipped profile by name, or a file. Unknown keys are an error, since a misspelt one would
// silently leave a zero.
func Load(shipped fs.FS, name string, into any) error {
	data, err := fs.ReadFile(shipped, dir+"/"+name+".toml")
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return fmt.Errorf("profile %q is neither shipped nor a readable file: %w", name, err)
		}
	}
	md, err := toml.NewDecoder(bytes.NewReader(data)).Decode(into)
	if err != nil {
		return fmt.Errorf("profile %q: %w", name, err)
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return fmt.Errorf("profile %q: unknown key %s", name, extra[0])
	}
	return nil
}

// Names returns the names of the shipped profiles.
func Names(shipped fs.FS) []string {
	entries, _ := fs.ReadDir(shipped, dir) // embedded, so it exists
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}
