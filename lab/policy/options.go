// Package policy is the policy benchmark: it steps the scheduler of one dispatcher under virtual time
// against small fake engines and reports each policy's figures against the targets of the design page.
package policy

import "github.com/rosemaryhill/rosemaryhill/core/sched"

// Options selects what Run measures. A zero field takes the default in brackets.
type Options struct {
	Profiles []string       // names of shipped profiles or paths of TOML files [both shipped ones]
	Policies []sched.Policy // [all three]
	Loads    []int          // percent of capacity [50, 85, 100, 120]
	Seed     int64          // [1]
}
