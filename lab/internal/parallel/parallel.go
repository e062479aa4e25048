// Package parallel runs independent jobs concurrently.
package parallel

import "sync"

// Run runs all jobs, at most n at a time, and returns when all have finished. If n is below 1, it is taken as 1.
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
