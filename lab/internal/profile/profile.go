// Package profile loads the TOML profiles of the policy benchmarks.
package profile

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// dir is the directory of the profiles in the embedded file system of each benchmark.
const dir = "profiles"

// Load decodes a profile, given by the name of a built-in one or by a file path. Unknown keys are an error, since a
// misspelt key would silently leave its field zero.
func Load(builtin fs.FS, name string, into any) error {
	data, err := fs.ReadFile(builtin, dir+"/"+name+".toml")
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return fmt.Errorf("profile %q is neither built in nor a readable file: %w", name, err)
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

// Names returns the names of the built-in profiles.
func Names(builtin fs.FS) []string {
	entries, _ := fs.ReadDir(builtin, dir) // never fails, since the directory is embedded
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}
