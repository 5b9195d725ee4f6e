// Package geoip maps client blocks (IPv4 prefixes) to the nearest region, with a few
// bytes of memory per block.
//
// # Usage
//
//	t, err := geoip.New(entries)
//	r, ok := t.Region(netip.MustParseAddr("192.0.2.7"))
//
// The table consists of sorted arrays without pointers: four bytes for the first
// address, one for the length, two for the region, and four for the enclosing block. A
// look-up is a binary search. Blocks may be nested; the longest prefix takes precedence
// (RFC 1519).
package geoip

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindInvalid Kind = "invalid"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	maxRegions = 1 << 16
	// none is the parent of a block that is not nested in another.
	none = -1
)

// Entry is a client block and its region.
type Entry struct {
	Block  netip.Prefix
	Region model.RegionID
}

// Table maps client blocks to regions. It is immutable.
type Table struct {
	first   []uint32
	bits    []uint8
	region  []uint16
	parent  []int32
	regions []model.RegionID
}

// New builds a table. A block that occurs twice is an error.
func New(entries []Entry) (*Table, error) {
	const op = "geoip.New"
	sorted := slices.Clone(entries)
	for i, e := range sorted {
		if !e.Block.IsValid() || !e.Block.Addr().Is4() {
			return nil, errs.Newf(op, KindInvalid, "block %q is not an IPv4 prefix", e.Block)
		}
		sorted[i].Block = e.Block.Masked()
	}
	slices.SortFunc(sorted, compare)
	t := &Table{
		first: make([]uint32, 0, len(sorted)), bits: make([]uint8, 0, len(sorted)),
		region: make([]uint16, 0, len(sorted)), parent: make([]int32, 0, len(sorted)),
	}
	indexes := map[model.RegionID]uint16{}
	for i, e := range sorted {
		if i > 0 && e.Block == sorted[i-1].Block {
			return nil, errs.Newf(op, KindInvalid, "block %q occurs twice", e.Block)
		}
		n, err := t.regionIndex(indexes, e.Region)
		if err != nil {
			return nil, errs.New(op, KindInvalid, err)
		}
		t.add(e.Block, n)
	}
	return t, nil
}

func compare(a, b Entry) int {
	return cmp.Or(a.Block.Addr().Compare(b.Block.Addr()), cmp.Compare(a.Block.Bits(), b.Block.Bits()))
}

func (t *Table) regionIndex(indexes map[model.RegionID]uint16, r model.RegionID) (uint16, error) {
	if n, ok := indexes[r]; ok {
		return n, nil
	}
	if len(t.regions) == maxRegions {
		return 0, fmt.Errorf("there are more than %d regions", maxRegions)
	}
	n := uint16(len(t.regions))
	indexes[r] = n
	t.regions = append(t.regions, r)
	return n, nil
}

// add appends a block. Blocks must be added in the order of compare.
func (t *Table) add(p netip.Prefix, region uint16) {
	first := toInt(p.Addr())
	parent := int32(len(t.first)) - 1
	for parent != none && !t.contains(parent, first) {
		parent = t.parent[parent]
	}
	t.first = append(t.first, first)
	t.bits = append(t.bits, uint8(p.Bits()))
	t.region = append(t.region, region)
	t.parent = append(t.parent, parent)
}

func toInt(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func (t *Table) contains(i int32, a uint32) bool {
	shift := 32 - t.bits[i]
	return a>>shift == t.first[i]>>shift
}

// Region returns the region of the longest prefix that contains an address, and whether
// there is one.
func (t *Table) Region(a netip.Addr) (model.RegionID, bool) {
	if !a.Is4() {
		return "", false
	}
	n := toInt(a)
	i, found := slices.BinarySearch(t.first, n)
	for found && i+1 < len(t.first) && t.first[i+1] == n {
		i++
	}
	at := int32(i)
	if !found {
		at--
	}
	for at != none && !t.contains(at, n) {
		at = t.parent[at]
	}
	if at == none {
		return "", false
	}
	return t.regions[t.region[at]], true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return len(t.first) }
