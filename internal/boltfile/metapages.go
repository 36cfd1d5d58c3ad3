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
	txidOffset     = 64
	checksumOffset = 72
	metaEnd        = 80
)

// metaPage has the fields that are read from one of a file's two meta pages.
type metaPage struct {
	pageSize uint32
	txid     uint64
}

// checkMetaPages verifies both meta pages. It returns an error that matches ErrCorrupt if
// one is invalid or if they are not of two consecutive commits. The library requires only
// one valid page: if the newer one is corrupt it uses the older one, and the last commit,
// which was reported as durable, is silently lost.
func checkMetaPages(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	first, err := readMetaPage(file, 0, 0)
	if err != nil {
		return err
	}
	second, err := readMetaPage(file, 1, int64(first.pageSize))
	if err != nil {
		return err
	}
	if first.txid+1 != second.txid && second.txid+1 != first.txid {
		return fmt.Errorf("%w: meta pages are of commits %d and %d, which are not consecutive",
			ErrCorrupt, first.txid, second.txid)
	}
	return nil
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
	return metaPage{
		pageSize: binary.NativeEndian.Uint32(page[pageSizeOffset:]),
		txid:     binary.NativeEndian.Uint64(page[txidOffset:]),
	}, nil
}
