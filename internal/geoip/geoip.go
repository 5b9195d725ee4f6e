// Package geoip maps client blocks (IPv4 prefixes) to the region that is near
// them, in a few bytes a block.
//
// # Usage
//
//	t, err := geoip.New(entries)
//	r, ok := t.Region(netip.MustParseAddr("192.0.2.7"))
//
// The table holds sorted arrays without pointers: four bytes for the first
// address, one for the length and two for the region, and four for the block
// around it. A look-up is a binary search. Blocks may lie within each other; the
// longest prefix counts (RFC 1519).
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

// Kind tells the errors of the package apart.
type Kind string

// The kinds of errors.
const (
	KindInvalid Kind = "invalid"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	maxRegions = 1 << 16
	// none marks a block that lies within no other.
	none = -1
)

// Entry is a client block and its region.
type Entry struct {
	Block  netip.Prefix
	Region model.RegionID
}

// Table is the map of client blocks. It is not changed after it was built.
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
			return nil, errs.Newf(op, KindInvalid, "block %q is no IPv4 prefix", e.Block)
		}
		sorted[i].Block = e.Block.Masked()
	}
	slices.SortFunc(sorted, compare)
	t := &Table{
		first: make([]uint32, 0, len(sorted)), bits: make([]uint8, 0, len(sorted)),
		region: make([]uint16, 0, len(sorted)), parent: make([]int32, 0, len(sorted)),
	}
	numbers := map[model.RegionID]uint16{}
	for i, e := range sorted {
		if i > 0 && e.Block == sorted[i-1].Block {
			return nil, errs.Newf(op, KindInvalid, "block %q occurs twice", e.Block)
		}
		n, err := t.number(numbers, e.Region)
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

func (t *Table) number(numbers map[model.RegionID]uint16, r model.RegionID) (uint16, error) {
	if n, ok := numbers[r]; ok {
		return n, nil
	}
	if len(t.regions) == maxRegions {
		return 0, fmt.Errorf("there are more than %d regions", maxRegions)
	}
	n := uint16(len(t.regions))
	numbers[r] = n
	t.regions = append(t.regions, r)
	return n, nil
}

// add appends a block behind all that start before it.
func (t *Table) add(p netip.Prefix, region uint16) {
	first := toInt(p.Addr())
	around := int32(len(t.first)) - 1
	for around != none && !t.holds(around, first) {
		around = t.parent[around]
	}
	t.first = append(t.first, first)
	t.bits = append(t.bits, uint8(p.Bits()))
	t.region = append(t.region, region)
	t.parent = append(t.parent, around)
}

func toInt(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func (t *Table) holds(i int32, a uint32) bool {
	shift := 32 - t.bits[i]
	return a>>shift == t.first[i]>>shift
}

// Region returns the region of the longest block that holds an address.
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
	for at != none && !t.holds(at, n) {
		at = t.parent[at]
	}
	if at == none {
		return "", false
	}
	return t.regions[t.region[at]], true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return len(t.first) }
