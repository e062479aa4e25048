package soak

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// badPart is a kind of fault that Config.Without may name: requests hold a prompt part that crashes each engine which
// begins to write an answer on it.
const badPart = "bad part"

const (
	// badPartID is the ID of the bad part, and badPartShare the fraction of streams that hold it meanwhile.
	badPartID, badPartShare = "bad0", 0.1
	// badPartBegin and badPartEnd bound the time of the bad part, from the start of a run. Before it streams are served as
	// usual, and from recoverTime after the fifth crash until badPartOver again. Shorter runs have no bad part.
	badPartBegin, badPartEnd, badPartOver = 3 * time.Second, 12 * time.Second, 16 * time.Second
	// calmFactor multiplies the pauses between other faults until badPartOver, since hosts with a fault are not judged.
	calmFactor = 5
	// downTime is how long a crashed engine is down, and lapseTime how long its entry stays after that.
	downTime, lapseTime = 3 * time.Second, 2 * time.Second
	// judgedCrash is the number of the crash from which on hosts have to know the part: blockTime later at most
	// maxLateRequests more reach engines, and recoverTime later streams are served again, at least minRecovery times as
	// large a share as before the bad part.
	judgedCrash     = 5
	blockTime       = 3 * time.Second
	maxLateRequests = 3
	recoverTime     = 6 * time.Second
	minRecovery     = 0.5
	// minJudged is the number of streams from which on a share of them is judged.
	minJudged = 5
)

// Parts that several prompts share. All prompts with the bad part begin with the first one.
var (
	firstParts  = []string{"a1", "a2", "a3"}
	secondParts = []string{"b1", "b2", "b3"}
)

// parts holds the parts of a stream's prompt that others share.
type parts struct{ first, second string }

func (p parts) bad() bool { return p.second == badPartID }

// header returns the header for the parts; own is the ID of the last part, which no other request has.
func (p parts) header(own string) []string { return standin.PartsHeader(p.first, p.second, own) }

func (r *run) randomParts(rng *rand.Rand, now time.Time) parts {
	p := parts{firstParts[rng.Intn(len(firstParts))], secondParts[rng.Intn(len(secondParts))]}
	bad := rng.Float64() < badPartShare
	if bad && r.hasBadPart() && now.After(r.began.Add(badPartBegin)) && now.Before(r.began.Add(badPartEnd)) {
		return parts{firstParts[0], badPartID}
	}
	return p
}

func (r *run) hasBadPart() bool { return !r.leftOut(badPart) && r.cfg.Duration >= badPartOver }

// faultPause draws the time between the starts of two faults.
func (r *run) faultPause(rng *rand.Rand) time.Duration {
	pause := randomDuration(rng, minPause, maxPause)
	if r.hasBadPart() && time.Since(r.began) < badPartOver {
		pause *= calmFactor
	}
	return pause
}

// crash makes an engine crash, once for each of its lifetimes, and starts it again later.
func (r *run) crash(s *standin.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasCrashedLocked(s.ID) {
		return
	}
	n := len(r.crashes)
	r.crashes = append(r.crashes, crash{server: s.ID, at: time.Now()})
	r.result.Faults[badPart]++
	r.reviving.Go(func() { r.crashAndRevive(n, s) })
}

// hasCrashedLocked reports whether a lifetime of an engine has ended in a crash. r.mu must be locked.
func (r *run) hasCrashedLocked(id string) bool {
	return slices.ContainsFunc(r.crashes, func(x crash) bool { return x.server == id })
}

// unlessCrashed calls f unless the server's lifetime has ended in a crash.
func (r *run) unlessCrashed(s *standin.Server, f func()) {
	r.mu.Lock()
	crashed := r.hasCrashedLocked(s.ID)
	r.mu.Unlock()
	if !crashed {
		f()
	}
}

// crash records a crash of an engine.
type crash struct {
	server    string
	at, reset time.Time // begin, and when all connections were reset
}

// crashAndRevive makes an engine crash and revives it; n is the index of the crash.
func (r *run) crashAndRevive(n int, old *standin.Server) {
	if err := r.fleet.Crash(old); err != nil {
		r.reportViolation("crash of %s: %v", old.ID, err)
	}
	r.mu.Lock()
	r.crashes[n].reset = time.Now()
	r.mu.Unlock()
	time.Sleep(downTime)
	s, err := r.fleet.Revive(old, "models")
	if err != nil {
		r.reportViolation("%s does not start again: %v", old.ID, err)
		return
	}
	r.mu.Lock()
	r.servers[slices.Index(r.servers, old)] = s
	r.mu.Unlock()
	time.Sleep(lapseTime)
	r.fleet.Deregister(old)
}

// crashed reports whether an engine crashed in a time; an empty ID stands for any engine.
func (r *run) crashed(id string, from, to time.Time) bool {
	return slices.ContainsFunc(r.crashes, func(x crash) bool {
		return (id == "" || id == x.server) && !x.reset.Before(from) && !x.at.After(to)
	})
}

// checkBadPart checks how far the bad part has spread, and that other streams with the same first part are served.
func (r *run) checkBadPart(streams map[string][]standin.Arrival) {
	if !r.hasBadPart() {
		return
	}
	if len(r.crashes) < judgedCrash {
		r.result.BadPart = fmt.Sprintf("%d crashes", len(r.crashes))
		return
	}
	fifth := r.crashes[judgedCrash-1].at
	late := 0
	for _, c := range r.calls {
		if c.parts.bad() && slices.ContainsFunc(streams[c.ID], func(a standin.Arrival) bool {
			return a.At.After(fifth.Add(blockTime)) && !c.host.cutAllowed.overlap(a.At.Add(-blockTime), a.At)
		}) {
			late++
		}
	}
	before, sentBefore := r.servedShare(r.began, r.began.Add(badPartBegin))
	after, sentAfter := r.servedShare(fifth.Add(recoverTime), r.began.Add(badPartOver))
	r.result.BadPart = fmt.Sprintf("%d crashes, fifth after %v, %d later requests with the part reached engines, served with the same first part %.2f of %d before, %.2f of %d after",
		len(r.crashes), fifth.Sub(r.began).Round(time.Millisecond), late, before, sentBefore, after, sentAfter)
	if late > maxLateRequests {
		r.reportViolation("bad part: %d requests reached engines later than %v after crash %d", late, blockTime, judgedCrash)
	}
	if min(sentBefore, sentAfter) >= minJudged && after < minRecovery*before {
		r.reportViolation("bad part: streams with the same first part are not served again: %.2f of %d before, %.2f of %d later than %v after crash %d",
			before, sentBefore, after, sentAfter, recoverTime, judgedCrash)
	}
}

// servedShare returns the share of the streams sent in a time that were served, of those that share a first part with the
// bad part and do not hold it. Left out are streams that an
// engine would fail, during outages too, and those to hosts with a fault.
func (r *run) servedShare(from, to time.Time) (share float64, sent int) {
	served := 0
	for _, c := range r.calls {
		other := c.parts.first != firstParts[0] || c.parts.bad() || c.sentAt.Before(from) || c.sentAt.After(to)
		end := c.endedAt
		if other || !soundRequest(c.ID) || r.outages.overlap(c.sentAt, end) || c.host.cutAllowed.overlap(c.sentAt, end) {
			continue
		}
		sent++
		if c.Served() {
			served++
		}
	}
	return float64(served) / float64(max(1, sent)), sent
}
