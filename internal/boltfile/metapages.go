package boltfile

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
)

// Offsets in a meta page of bbolt.
const (
	metaOffset     = 16 // start of the fields that the checksum covers
	pageSizeOffset = 24
	rootOffset     = 32
	freeListOffset = 48
	endOffset      = 56
	txidOffset     = 64
	checksumOffset = 72
	metaEnd        = 80
)

// metaPage has the fields that are read from one of a file's two meta pages.
type metaPage struct {
	pageSize uint32
	root     uint64 // number of the root page of the bucket that holds all others
	freeList uint64 // number of the first page of the list of free pages
	end      uint64 // number of the first page that the file does not use
	txid     uint64
}

const (
	minPageSize = 1 << 10
	maxPageSize = 1 << 16
)

// checkMetaPages verifies both meta pages. It returns an error that matches ErrCorrupt if
// one is invalid or if they are not of two consecutive commits. The library requires only
// one valid page: if the newer one is corrupt it uses the older one, and the last commit,
// which was reported as durable, is silently lost. last is the meta page of that commit.
func checkMetaPages(file *os.File) (last metaPage, err error) {
	first, err := readMetaPage(file, 0, 0)
	if err != nil {
		return metaPage{}, err
	}
	second, err := readMetaPage(file, 1, int64(first.pageSize))
	if err != nil {
		return metaPage{}, err
	}
	switch {
	case first.txid == second.txid+1:
		return first, nil
	case second.txid == first.txid+1:
		return second, nil
	}
	return metaPage{}, fmt.Errorf("%w: meta pages are of commits %d and %d, which are not consecutive",
		ErrCorrupt, first.txid, second.txid)
}

func readMetaPage(file *os.File, number int, offset int64) (metaPage, error) {
	var page [metaEnd]byte
	if _, err := file.ReadAt(page[:], offset); err != nil {
		return metaPage{}, fmt.Errorf("%w: meta page %d: %w", ErrCorrupt, number, err)
	}
	hash := fnv.New64a()
	hash.Write(page[metaOffset:checksumOffset])
	if binary.NativeEndian.Uint64(page[checksumOffset:]) != hash.Sum64() {
		return metaPage{}, fmt.Errorf("%w: wrong checksum of meta page %d", ErrCorrupt, number)
	}
	meta := metaPage{
		pageSize: binary.NativeEndian.Uint32(page[pageSizeOffset:]),
		root:     binary.NativeEndian.Uint64(page[rootOffset:]),
		freeList: binary.NativeEndian.Uint64(page[freeListOffset:]),
		end:      binary.NativeEndian.Uint64(page[endOffset:]),
		txid:     binary.NativeEndian.Uint64(page[txidOffset:]),
	}
	if meta.pageSize < minPageSize || meta.pageSize > maxPageSize {
		return metaPage{}, fmt.Errorf("%w: meta page %d has a page size of %d bytes", ErrCorrupt, number, meta.pageSize)
	}
	return meta, nil
}
