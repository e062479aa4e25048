// Package memlimit sets the soft memory limit of the runtime from the memory limit of a process.
package memlimit

import "runtime/debug"

// share is the share of the process's memory limit that is set as the garbage collector's soft limit. The rest is headroom for
// memory that the runtime does not count, such as socket buffers.
const share = 0.7

// Apply sets the runtime's soft memory limit. Zero leaves it as it is.
func Apply(mb int64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(share * float64(mb<<20)))
	}
}
