package entry

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

// reloadInterval is the time between two looks at the settings file, which may change without a signal.
const reloadInterval = time.Second

// memoryShare is the share of the memory limit at which the garbage collector works harder; the rest is
// room for what the runtime does not count, such as bytes in sockets.
const memoryShare = 0.7

// applyMemoryLimit tells the runtime how much memory the process may use.
func applyMemoryLimit(mb int64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb<<20)))
	}
}

// watchSettings reads the settings file again when it has changed. Only the peers take effect in a running
// process; a file with mistakes changes nothing.
func (h *Host) watchSettings() {
	last := modified(h.cfg.SettingsFile)
	for h.ctx.Err() == nil {
		sleep(h.ctx, reloadInterval)
		if at := modified(h.cfg.SettingsFile); at != last {
			last = at
			h.reload()
		}
	}
}

func (h *Host) reload() {
	s, err := settings.Load(h.cfg.SettingsFile, settings.RoleEntry)
	if err != nil {
		h.log.WithField("error", err.Error()).Error("settings not reloaded")
		return
	}
	seeds := h.seeds(s.Entry.Peers)
	h.state.mu.Lock()
	h.state.seeds = seeds
	for _, seed := range seeds {
		h.state.contacts[seed.Addr] = h.now() + contactTime
	}
	h.state.mu.Unlock()
	h.gossip.Enqueue(member.Seeds{Seeds: seeds})
	h.changed()
	h.log.WithField("peers", len(s.Entry.Peers)).Info("settings reloaded")
}

// modified returns the time of the last change of a file, or zero when it can't be read at the moment.
func modified(file string) int64 {
	info, err := os.Stat(file)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano() ^ info.Size()
}
