package boltfile

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Layout of a page of bbolt. Integers have the byte order of the machine.
const (
	headerBytes        = 16 // number of the page (8), kind (2), count of elements (2), overflow (4)
	kindOffset         = 8
	countOffset        = 10
	overflowOffset     = 12
	branchElementBytes = 16 // position of the key (4), its length (4), number of the child page (8)
	leafElementBytes   = 16 // flags (4), position of the key (4), its length (4), length of the value (4)
	bucketHeaderBytes  = 16 // number of the root page, 0 for an inline bucket (8), sequence (8)
	pageNumberBytes    = 8
	longFreeList       = 0xFFFF // count in the header of a list whose first element is the count
)

// Kinds of pages.
const (
	kindBranch   = 0x01
	kindLeaf     = 0x02
	kindFreeList = 0x10
)

// Flags of a leaf element.
const (
	flagsRecord = 0
	flagsBucket = 1
)

// page is a page with its overflow pages.
type page struct {
	number   uint64
	kind     uint16
	count    int
	overflow uint64
	content  []byte // with the header
}

// element is an element of a branch or leaf page.
type element struct {
	key   []byte
	child uint64 // number of the child page; on branch pages only
	flags uint32 // on leaf pages only
	value []byte // on leaf pages only
}

// readPage reads a page and its overflow pages, which must end before page number end.
func readPage(file io.ReaderAt, number, end uint64, pageSize int) (*page, error) {
	if number >= end {
		return nil, fmt.Errorf("page %d is beyond the last page %d", number, end-1)
	}
	offset := int64(number) * int64(pageSize)
	content := make([]byte, pageSize)
	if _, err := file.ReadAt(content, offset); err != nil {
		return nil, fmt.Errorf("page %d: %w", number, err)
	}
	p := parsePage(content)
	if p.number != number {
		return nil, fmt.Errorf("page %d has the number %d", number, p.number)
	}
	if p.overflow >= end-number {
		return nil, fmt.Errorf("page %d: %d overflow pages reach beyond the last page %d", number, p.overflow, end-1)
	}
	if p.overflow == 0 {
		return p, nil
	}
	p.content = make([]byte, (p.overflow+1)*uint64(pageSize))
	if _, err := file.ReadAt(p.content, offset); err != nil {
		return nil, fmt.Errorf("page %d: %w", number, err)
	}
	return p, nil
}

// parsePage reads the header of a page of at least headerBytes.
func parsePage(content []byte) *page {
	return &page{
		number:   binary.NativeEndian.Uint64(content),
		kind:     binary.NativeEndian.Uint16(content[kindOffset:]),
		count:    int(binary.NativeEndian.Uint16(content[countOffset:])),
		overflow: uint64(binary.NativeEndian.Uint32(content[overflowOffset:])),
		content:  content,
	}
}

// elements returns the elements of a branch or leaf page, and the number of bytes that the page uses. The library
// writes the data of all elements in their order and without gaps behind the table of elements. Any other layout is
// an error: a wrong count, position or length would hide or invent records.
func (p *page) elements() (elements []element, used int, err error) {
	if p.kind != kindBranch && p.kind != kindLeaf {
		return nil, 0, fmt.Errorf("page %d is of kind %#x, want branch or leaf", p.number, p.kind)
	}
	const elementBytes = leafElementBytes // the same as branchElementBytes
	dataAt := headerBytes + p.count*elementBytes
	if dataAt > len(p.content) {
		return nil, 0, fmt.Errorf("page %d: no space for %d elements", p.number, p.count)
	}
	elements = make([]element, p.count)
	for i := range elements {
		elementAt := headerBytes + i*elementBytes
		position, keyBytes, valueBytes := elements[i].parse(p.kind, p.content[elementAt:])
		dataEnd := dataAt + keyBytes + valueBytes
		if elementAt+position != dataAt || keyBytes == 0 || dataEnd > len(p.content) {
			return nil, 0, fmt.Errorf("page %d: element %d has a wrong position or length", p.number, i)
		}
		elements[i].key = p.content[dataAt : dataAt+keyBytes]
		elements[i].value = p.content[dataAt+keyBytes : dataEnd]
		dataAt = dataEnd
	}
	return elements, dataAt, nil
}

// parse reads an entry of the table of elements. The position counts from the entry.
func (e *element) parse(kind uint16, entry []byte) (position, keyBytes, valueBytes int) {
	field := func(n int) uint32 { return binary.NativeEndian.Uint32(entry[4*n:]) }
	if kind == kindBranch {
		e.child = binary.NativeEndian.Uint64(entry[8:])
		return int(field(0)), int(field(1)), 0
	}
	e.flags = field(0)
	return int(field(1)), int(field(2)), int(field(3))
}

// freePages returns the numbers of the free pages that a page of the free list names.
func (p *page) freePages() ([]uint64, error) {
	if p.kind != kindFreeList {
		return nil, fmt.Errorf("page %d is of kind %#x, want the list of free pages", p.number, p.kind)
	}
	list := p.content[headerBytes:]
	count := uint64(p.count)
	if count == longFreeList {
		count = binary.NativeEndian.Uint64(list)
		list = list[pageNumberBytes:]
	}
	if count > uint64(len(list)/pageNumberBytes) {
		return nil, fmt.Errorf("page %d: no space for %d free pages", p.number, count)
	}
	numbers := make([]uint64, count)
	for i := range numbers {
		numbers[i] = binary.NativeEndian.Uint64(list[i*pageNumberBytes:])
	}
	return numbers, nil
}
