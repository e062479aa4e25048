package entry

import (
	"os"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

// reloadInterval is the interval at which the settings file is checked for changes, since it may change without
// a signal.
const reloadInterval = time.Second

// watchSettings reloads the settings file whenever it changes. In a running process only a change of the peers
// takes effect. An invalid file is ignored.
func (h *Host) watchSettings() {
	last := fileFingerprint(h.cfg.SettingsFile)
	if s, err := h.loadSettings(); err == nil && !slices.Equal(s.Entry.Peers, h.settings.Peers) {
		h.reload() // the file has changed since it was read at the start
	}
	for h.ctx.Err() == nil {
		ctxtime.Sleep(h.ctx, reloadInterval)
		if at := fileFingerprint(h.cfg.SettingsFile); at != last {
			last = at
			h.reload()
		}
	}
}

func (h *Host) loadSettings() (settings.Settings, error) {
	return settings.Load(h.cfg.SettingsFile, settings.RoleEntry)
}

func (h *Host) reload() {
	s, err := h.loadSettings()
	if err != nil {
		h.log.WithField("error", err.Error()).Error("settings not reloaded")
		return
	}
	h.setSeeds(s.Entry.Peers)
	h.requestReport()
	h.log.WithContext(obs.Essential).WithField("peers", len(s.Entry.Peers)).Info("settings reloaded")
}

// fileFingerprint returns a value that changes with the modification time and size of a file, or zero when the
// file can't be read.
func fileFingerprint(file string) int64 {
	info, err := os.Stat(file)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano() ^ info.Size()
}
