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

// replay reads the records of a log and returns how many bytes are good.
func replay(b []byte, d *Recovered) (int, error) {
	o := 0
	for o < len(b) {
		p, n, err := decodeRecord(b[o:])
		if err != nil {
			if at := nextRecord(b[o+1:]); at >= 0 {
				return o, fmt.Errorf("%w, and a good record follows at offset %d", err, o+1+at)
			}
			return o, nil
		}
		r := &eelpb.LogRecord{}
		if err := proto.Unmarshal(p, r); err != nil {
			return o, fmt.Errorf("record does not decode: %w", err)
		}
		if err := d.take(r); err != nil {
			return o, err
		}
		o += n
	}
	return o, nil
}

// take applies one record of the log.
func (d *Recovered) take(r *eelpb.LogRecord) error {
	if r.Hard != nil {
		d.HardState = r.Hard
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

// encodeSave encodes a term, a vote and entries as one record.
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

// decodeRecord returns the payload of the record at the start and its whole length.
func decodeRecord(b []byte) ([]byte, int, error) {
	if len(b) < headerBytes {
		return nil, 0, fmt.Errorf("record header is cut after %d bytes", len(b))
	}
	if binary.LittleEndian.Uint32(b) != magic || binary.LittleEndian.Uint32(b[12:]) != crc32.Checksum(b[:12], castagnoli) {
		return nil, 0, errors.New("record header does not match its checksum")
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxRecordBytes || headerBytes+n > len(b) {
		return nil, 0, fmt.Errorf("record of %d bytes is cut after %d", n, len(b)-headerBytes)
	}
	p := b[headerBytes : headerBytes+n]
	if crc32.Checksum(p, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, errors.New("record does not match its checksum")
	}
	return p, headerBytes + n, nil
}

// nextRecord returns the offset of the first good record, or -1.
func nextRecord(b []byte) int {
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
