package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"google.golang.org/protobuf/proto"
)

const (
	headerBytes    = 16
	magic          = 0x4c454547
	maxRecordBytes = 256 << 20
	snapshotPrefix = "snapshot-"
	logPrefix      = "log-"
	identityName   = "identity"
	lockName       = "lock"
	tmpSuffix      = ".tmp"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// replay applies the records of a log and returns the length of its valid prefix.
func replay(b []byte, d *Recovered) (int, error) {
	o := 0
	for o < len(b) {
		p, n, err := decodeRecord(b[o:])
		if err != nil {
			if at := findRecord(b[o+1:]); at >= 0 {
				return o, fmt.Errorf("%w, but a valid record follows at offset %d", err, o+1+at)
			}
			return o, nil
		}
		r := &eelpb.LogRecord{}
		if err := proto.Unmarshal(p, r); err != nil {
			return o, fmt.Errorf("cannot decode record: %w", err)
		}
		if err := d.apply(r); err != nil {
			return o, err
		}
		o += n
	}
	return o, nil
}

// apply adds one log record to the recovered state.
func (d *Recovered) apply(r *eelpb.LogRecord) error {
	if r.Hard != nil {
		d.Hard = r.Hard
	}
	base := d.Snapshot.GetIndex()
	for _, e := range r.Entries {
		if e.Index <= base {
			continue
		}
		at := e.Index - base - 1
		if at > uint64(len(d.Entries)) {
			return fmt.Errorf("log jumps from index %d to %d", base+uint64(len(d.Entries)), e.Index)
		}
		d.Entries = append(d.Entries[:at], e)
	}
	return nil
}

// encodeSave encodes a hard state and entries as one record.
func encodeSave(h *eelpb.HardState, entries []*eelpb.LogEntry) ([]byte, error) {
	p, err := proto.Marshal(&eelpb.LogRecord{Hard: h, Entries: entries})
	if err != nil {
		return nil, err
	}
	return encodeRecord(p), nil
}

func encodeRecord(p []byte) []byte {
	b := make([]byte, headerBytes, headerBytes+len(p))
	binary.LittleEndian.PutUint32(b, magic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(p)))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(p, castagnoli))
	binary.LittleEndian.PutUint32(b[12:], crc32.Checksum(b[:12], castagnoli))
	return append(b, p...)
}

// decodeRecord returns the payload of the record at the start of b and the record's length,
// header included.
func decodeRecord(b []byte) ([]byte, int, error) {
	if len(b) < headerBytes {
		return nil, 0, fmt.Errorf("record header is truncated after %d bytes", len(b))
	}
	if binary.LittleEndian.Uint32(b) != magic || binary.LittleEndian.Uint32(b[12:]) != crc32.Checksum(b[:12], castagnoli) {
		return nil, 0, errors.New("record header does not match its magic number or checksum")
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxRecordBytes || headerBytes+n > len(b) {
		return nil, 0, fmt.Errorf("record of %d bytes is truncated after %d bytes", n, len(b)-headerBytes)
	}
	p := b[headerBytes : headerBytes+n]
	if crc32.Checksum(p, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, errors.New("record payload does not match its checksum")
	}
	return p, headerBytes + n, nil
}

// findRecord returns the offset of the first valid record, or -1.
func findRecord(b []byte) int {
	for o := 0; o+headerBytes <= len(b); o++ {
		if binary.LittleEndian.Uint32(b[o:]) != magic {
			continue
		}
		if _, _, err := decodeRecord(b[o:]); err == nil {
			return o
		}
	}
	return -1
}
