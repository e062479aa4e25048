package soak

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// serverNotice is a kind of fault that Config.Without may name: servers say that they leave, while their entries say that
// they are ready, or refuse requests and ask for a pause.
const serverNotice = "server notice"

const (
	// minNoticeGap and maxNoticeGap bound the time between the starts of two notices.
	minNoticeGap, maxNoticeGap = 200 * time.Millisecond, time.Second
	// minLeaving and maxLeaving bound how long a server leaves before it starts again as a new lifetime.
	minLeaving, maxLeaving = 2500 * time.Millisecond, 4 * time.Second
	// minServerPause and maxServerPause bound the pauses.
	minServerPause, maxServerPause = 50 * time.Millisecond, 3 * time.Second
	// jointPauseShare is the fraction of pauses that all servers of a service ask for at the same time.
	jointPauseShare = 0.1
	// leavingBound is the time after the first answer of a leaving server from which on a host sends it nothing.
	leavingBound = 2 * time.Second
	// pauseBound is the time after a refusal from which on at most maxInPause requests of a host reach the server until the
	// end of its pause.
	pauseBound = 500 * time.Millisecond
	maxInPause = 2
)

// injectNotice makes a server leave, or one or all of a service pause.
func (r *run) injectNotice(_ context.Context, rng *rand.Rand, running *sync.WaitGroup) {
	service := services[rng.Intn(len(services))]
	servers := r.serversOf(service)
	first, leaves := rng.Intn(len(servers)), rng.Intn(2) == 0
	length := randomDuration(rng, minServerPause, maxServerPause)
	if leaves {
		length = randomDuration(rng, minLeaving, maxLeaving)
	}
	chosen := servers[first : first+1]
	if !leaves && rng.Float64() < jointPauseShare {
		chosen = servers
		running.Go(func() {
			defer r.outages.open(0)()
			time.Sleep(length)
		})
	}
	for _, s := range chosen {
		if leaves {
			running.Go(func() { r.leave(s, service, length) })
		} else {
			running.Go(func() { pauseServer(s, length) })
		}
	}
}

// leave makes a server say that it leaves, and then start again under its ID.
func (r *run) leave(s *standin.Server, service string, length time.Duration) {
	if !s.Leaving.CompareAndSwap(false, true) {
		return // it leaves already
	}
	time.Sleep(length)
	r.unlessCrashed(s, func() { r.fleet.StartAgain(s, service) })
}

// serversOf returns the servers of a service.
func (r *run) serversOf(service string) []*standin.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := 0
	for _, name := range services {
		if name == service {
			break
		}
		first += serverCounts[name]
	}
	return slices.Clone(r.servers[first : first+serverCounts[service]])
}

// pauseServer makes a server refuse requests and ask for a pause until its end.
func pauseServer(s *standin.Server, length time.Duration) {
	end := time.Now().Add(length)
	for left := length; left > 0; left = time.Until(end) {
		seconds := strconv.FormatFloat(left.Seconds(), 'f', 3, 64)
		s.Pause.Store(&seconds)
		time.Sleep(min(left, 10*time.Millisecond))
	}
	s.Pause.Store(nil)
}

// contact is an arrival of a request at a server, and the call that it belongs to.
type contact struct {
	standin.Arrival
	*call
	alone bool // the request reached no other server
}

// peerOf identifies a host and a lifetime of a server.
type peerOf struct {
	host     *host
	server   string
	lifetime int64
}

// contacts returns the arrivals of all calls.
func (r *run) contacts() (all []contact) {
	for _, service := range services {
		arrivals := r.fleet.Arrivals(service)
		for i := range r.calls {
			c := &r.calls[i]
			for _, a := range arrivals[c.ID] {
				all = append(all, contact{a, c, len(arrivals[c.ID]) == 1})
			}
		}
	}
	return all
}

// checkNotices checks that hosts send nothing new to servers that leave, and next to nothing to servers within a pause.
func (r *run) checkNotices() {
	contacts := map[peerOf][]contact{}
	for _, x := range r.contacts() {
		key := peerOf{x.host, x.Server, x.Lifetime}
		contacts[key] = append(contacts[key], x)
	}
	for key, all := range contacts {
		for _, text := range noticeViolations(all) {
			r.reportViolation("host %s, server %s: %s", key.host.Settings.HostID, key.server, text)
		}
	}
}

// noticeViolations returns what a host has done against the notices of one lifetime of a server. A fault of the host's process
// since a notice excuses it, as it may have forgotten it.
func noticeViolations(all []contact) (violations []string) {
	for _, told := range all {
		end := told.endedAt
		if told.Leaving && told.alone && told.Failure == standin.NoFailure && told.Served() {
			for _, x := range all {
				if x.sentAt.After(end.Add(leavingBound)) && !x.host.cutAllowed.overlap(told.sentAt, x.At) {
					violations = append(violations, fmt.Sprintf("request %s sent %v after the server had said in the answer to %s that it leaves", x.ID, x.sentAt.Sub(end), told.ID))
					break
				}
			}
		}
		if told.Pause == 0 {
			continue
		}
		inPause := 0
		for _, x := range all {
			// Requests that callers sent before the refusal may have been held up on the way.
			late := x.sentAt.After(told.At) && x.At.After(told.At.Add(pauseBound)) && x.At.Before(told.At.Add(told.Pause))
			if late && !x.host.cutAllowed.overlap(told.sentAt, x.At) && !x.host.lateAllowed.overlap(told.sentAt, x.At) {
				inPause++
			}
		}
		if inPause > maxInPause {
			violations = append(violations, fmt.Sprintf("%d requests within the pause of %v that the server asked for in its refusal of %s", inPause, told.Pause, told.ID))
		}
	}
	return violations
}
