package catalog

import (
	"slices"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// maxJournal is the maximum number of changes that are kept for peers. A peer that is further behind gets a snapshot.
const maxJournal = 1024

// journal keeps the latest changes, so that a peer that is slightly behind does not need a snapshot.
//
// Invariants: it holds every published change with a revision above start, at the revision at which it was published,
// whether or not the change had an effect on the table: a peer that does not have the same state may need it. It holds at
// most one configuration, the last one: each may have a megabyte, and a peer needs none but the last.
type journal struct {
	changes []Change
	start   ident.Revision
}

// restart forgets all changes. The changes up to a revision are known only by their result.
func (j *journal) restart(revision ident.Revision) { j.changes, j.start = nil, revision }

func (j *journal) add(c Change) {
	if c.Config != nil {
		j.dropConfig()
	}
	j.changes = append(j.changes, c)
	if len(j.changes) <= maxJournal {
		return
	}
	half := len(j.changes) / 2
	for _, old := range j.changes[:half] {
		j.start = max(j.start, old.Revision)
	}
	j.changes = append([]Change(nil), j.changes[half:]...)
}

// dropConfig removes the configuration from the change that published it. The change stays at its revision.
func (j *journal) dropConfig() {
	if i := slices.IndexFunc(j.changes, isConfig); i >= 0 {
		j.changes[i].Config = nil
	}
}

// since returns the changes after a revision in order; of several configurations only the last one is set. ok is
// false when the journal does not reach back that far.
func (j *journal) since(revision ident.Revision) (changes []Change, ok bool) {
	if revision < j.start {
		return nil, false
	}
	for _, c := range j.changes {
		if c.Revision > revision {
			changes = append(changes, c)
		}
	}
	return changes, true
}

// Since returns the changes after a revision, for a peer that holds everything up to it. ok is false when
// the peer needs a snapshot.
func (t *Table) Since(revision ident.Revision) (changes []Change, ok bool) {
	return t.journal.since(revision)
}

// ForPeer returns what a peer lacks that holds everything up to a revision, and a configuration version, 0 for none: the
// changes, or a snapshot if these are not known or do not contain a newer configuration.
func (t *Table) ForPeer(revision ident.Revision, config ident.Version) (snapshot *Snapshot, changes []Change) {
	changes, ok := t.Since(revision)
	if ok && config != 0 && (!t.hasNewerConfig(config) || slices.ContainsFunc(changes, isConfig)) {
		return nil, changes
	}
	s := t.Snapshot()
	return &s, nil
}

func (t *Table) hasNewerConfig(than ident.Version) bool {
	return t.config != nil && t.config.Version > than
}

func isConfig(c Change) bool { return c.Config != nil }
