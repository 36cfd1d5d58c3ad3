package boltfile

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
)

// pageCheck verifies the pages of a file. Each page below the end must be in use exactly once or be free.
type pageCheck struct {
	file     *os.File
	pageSize int
	end      uint64 // number of the first page that the file does not use
	seen     []bool // pages in use or free, by number
}

// keyRange are the keys that a page may hold, as its parents say: from first, which it must hold, to before end. Nil
// is no bound.
type keyRange struct {
	first, end []byte
}

// checkPages verifies all pages of the file's last commit but the content of records, and returns an error that
// matches ErrCorrupt for the first fault. The library verifies none of this: it searches by the keys of branch pages
// and frees as many pages as a header names, so that a wrong byte may misplace a later record or make a commit
// run for ever. It reads the whole file.
func checkPages(file *os.File, last metaPage) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if last.end > uint64(info.Size())/uint64(last.pageSize) {
		return fmt.Errorf("%w: the file has %d bytes, too few for %d pages", ErrCorrupt, info.Size(), last.end)
	}
	c := &pageCheck{file: file, pageSize: int(last.pageSize), end: last.end, seen: make([]bool, last.end)}
	if err := c.checkAll(last); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

func (c *pageCheck) checkAll(last metaPage) error {
	if err := c.mark(0, 2); err != nil { // the meta pages
		return err
	}
	if err := c.checkFreeList(last.freeList); err != nil {
		return err
	}
	if err := c.checkTree(last.root, keyRange{}, true); err != nil {
		return err
	}
	for number, seen := range c.seen {
		if !seen {
			return fmt.Errorf("page %d is neither in use nor free", number)
		}
	}
	return nil
}

// mark records that pages are in use or free.
func (c *pageCheck) mark(number, count uint64) error {
	if number > c.end || count > c.end-number {
		return fmt.Errorf("pages %d to %d are beyond the last page %d", number, number+count-1, c.end-1)
	}
	for n := number; n < number+count; n++ {
		if c.seen[n] {
			return fmt.Errorf("page %d is in use twice, or in use and free", n)
		}
		c.seen[n] = true
	}
	return nil
}

// read reads a page with its overflow pages and marks them.
func (c *pageCheck) read(number uint64) (*page, error) {
	p, err := readPage(c.file, number, c.end, c.pageSize)
	if err != nil {
		return nil, err
	}
	return p, c.mark(number, p.overflow+1)
}

func (c *pageCheck) checkFreeList(number uint64) error {
	p, err := c.read(number)
	if err != nil {
		return err
	}
	free, err := p.freePages()
	if err != nil {
		return err
	}
	for i, number := range free {
		if i > 0 && number <= free[i-1] {
			return fmt.Errorf("page %d: free page %d is listed after %d", p.number, number, free[i-1])
		}
		if err := c.mark(number, 1); err != nil {
			return err
		}
	}
	return nil
}

// checkTree verifies the tree below a page. Only the root of a bucket may be empty.
func (c *pageCheck) checkTree(number uint64, keys keyRange, isRoot bool) error {
	p, err := c.read(number)
	if err != nil {
		return err
	}
	elements, used, err := p.elements()
	if err != nil {
		return err
	}
	if pages := (used + c.pageSize - 1) / c.pageSize; uint64(pages) != p.overflow+1 {
		return fmt.Errorf("page %d has %d overflow pages for %d bytes", number, p.overflow, used)
	}
	if len(elements) == 0 && (p.kind == kindBranch || !isRoot) {
		return fmt.Errorf("page %d has no elements", number)
	}
	if err := checkOrder(p, elements, keys); err != nil {
		return err
	}
	if p.kind == kindLeaf {
		return c.checkBuckets(p, elements)
	}
	return c.checkChildren(elements, keys)
}

// checkOrder verifies that the keys of a page are in order, the first is the expected one, and all are in their range.
func checkOrder(p *page, elements []element, keys keyRange) error {
	if keys.first != nil && !bytes.Equal(elements[0].key, keys.first) {
		// The library looks for this key in the parent page when it replaces the page.
		return fmt.Errorf("page %d: its first key is not the one that its parent page gives", p.number)
	}
	for i, e := range elements {
		if i > 0 && bytes.Compare(elements[i-1].key, e.key) >= 0 {
			return fmt.Errorf("page %d: key %d is not after the key before it", p.number, i)
		}
		if keys.end != nil && bytes.Compare(e.key, keys.end) >= 0 {
			return fmt.Errorf("page %d: key %d is after the range that its parent page gives", p.number, i)
		}
	}
	return nil
}

// checkChildren verifies the trees below the elements of a branch page. Each holds the keys from its element's key, its
// first one, to before the next element's.
func (c *pageCheck) checkChildren(elements []element, keys keyRange) error {
	for i, e := range elements {
		childKeys := keyRange{first: e.key, end: keys.end}
		if i+1 < len(elements) {
			childKeys.end = elements[i+1].key
		}
		if err := c.checkTree(e.child, childKeys, false); err != nil {
			return err
		}
	}
	return nil
}

// checkBuckets verifies the buckets among the elements of a leaf page.
func (c *pageCheck) checkBuckets(p *page, elements []element) error {
	for i, e := range elements {
		switch e.flags {
		case flagsRecord:
		case flagsBucket:
			if err := c.checkBucket(e.value); err != nil {
				return fmt.Errorf("page %d: bucket %q: %w", p.number, e.key, err)
			}
		default:
			return fmt.Errorf("page %d: element %d has flags %#x", p.number, i, e.flags)
		}
	}
	return nil
}

// checkBucket verifies a bucket: its tree of pages, or the leaf page that its value contains.
func (c *pageCheck) checkBucket(value []byte) error {
	if len(value) < bucketHeaderBytes {
		return fmt.Errorf("its header has %d bytes, want %d", len(value), bucketHeaderBytes)
	}
	root := binary.NativeEndian.Uint64(value)
	inline := value[bucketHeaderBytes:]
	if root != 0 {
		if len(inline) != 0 {
			return fmt.Errorf("it has root page %d and %d bytes of its own", root, len(inline))
		}
		return c.checkTree(root, keyRange{}, true)
	}
	if len(inline) < headerBytes {
		return fmt.Errorf("its page has %d bytes, want at least %d", len(inline), headerBytes)
	}
	p := parsePage(inline)
	elements, used, err := p.elements()
	if err != nil {
		return err
	}
	if p.kind != kindLeaf || p.number != 0 || p.overflow != 0 || used != len(inline) {
		return fmt.Errorf("its page of %d bytes, %d used, has a wrong header", len(inline), used)
	}
	for i, e := range elements {
		if e.flags != flagsRecord {
			return fmt.Errorf("element %d has flags %#x, want a record", i, e.flags)
		}
	}
	return checkOrder(p, elements, keyRange{})
}
