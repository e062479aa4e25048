// Package parallel runs independent jobs side by side.
package parallel

import "sync"

// Run runs all jobs, at most n at once, and returns when the last one has ended.
func Run(jobs []func(), n int) {
	var wg sync.WaitGroup
	next := make(chan func())
	for range max(1, n) {
		wg.Go(func() {
			for job := range next {
				job()
			}
		})
	}
	for _, job := range jobs {
		next <- job
	}
	close(next)
	wg.Wait()
}
