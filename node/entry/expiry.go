package entry

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
)

// maxExpiryWait is the time after which the next expiry is computed again although the catalog has not changed.
const maxExpiryWait = time.Minute

// expireCatalog ends what holds in the catalog for a time only, when that time is over.
func (h *Host) expireCatalog() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-timer.C:
		case <-h.catalogChanged:
		}
		if h.nextExpiry() <= 0 {
			h.updateCatalog("expiry", func(t *catalog.Table) (refused bool) { t.Tick(h.now()); return false })
		}
		timer.Reset(min(h.nextExpiry(), maxExpiryWait))
	}
}

// nextExpiry returns the time until something expires in the catalog.
func (h *Host) nextExpiry() time.Duration {
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	return h.state.catalog.NextExpiry() - h.now()
}
