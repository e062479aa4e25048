package ident

import "strconv"

// Revision is a point in the history of the published state: the era of the store, and the number of its last change in that era.
// The era rises when the store comes back from an older copy; numbers of lost changes are then given out again, so they compare
// only within an era. Revisions compare as integers: by their eras first. Zero stands for no revision, and a store without eras
// is in era 0.
type Revision uint64

// Limits of the parts of a Revision.
const (
	numberBits = 44
	MaxEra     = 1<<(64-numberBits) - 1
	MaxNumber  = 1<<numberBits - 1 // of a change in an era
)

// NewRevision returns the revision of a change in an era. ok is false if a part is out of range.
func NewRevision(era, number uint64) (r Revision, ok bool) {
	if era > MaxEra || number > MaxNumber {
		return 0, false
	}
	return Revision(era<<numberBits | number), true
}

// Era returns the era of the store.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number of the change in its era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns the number, after the era and a slash if the store has eras.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + "/" + number
}
