package replication

import "slices"

// digestPage is a page of another replica's changes.
type digestPage struct {
	end     uint64   // position of the last change of the page
	missing []uint64 // digests of the records that are not known here
}

// digestPages are the consecutive pages after a position in another replica's log.
type digestPages []digestPage

// firstComplete reports whether there is a first page, and none of its records is missing.
func (pages digestPages) firstComplete() bool {
	return len(pages) > 0 && len(pages[0].missing) == 0
}

// removeKnown removes the digests of records that are known here.
func (pages digestPages) removeKnown(records *recordLog) {
	for i := range pages {
		pages[i].missing = records.missing(pages[i].missing)
	}
}

// remove removes digests from all pages.
func (pages digestPages) remove(digests []uint64) {
	isRemoved := map[uint64]bool{}
	for _, digest := range digests {
		isRemoved[digest] = true
	}
	for i := range pages {
		pages[i].missing = slices.DeleteFunc(pages[i].missing, func(digest uint64) bool { return isRemoved[digest] })
	}
}
