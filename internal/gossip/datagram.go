package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/place"
)

// datagramVersion is the first byte of a datagram.
const datagramVersion = 1

// The flags of a report.
const (
	flagObject = 1 << iota
	flagLoad
	flagFailed
	flagUnreachable
	flagLimit
)

const (
	// limitScale is the number of units of an encoded limit per request and second.
	limitScale = 1000
	// maxLimit bounds the encoded limit in a report.
	maxLimit = 1 << 40
)

// maxLoad bounds the load in a report; a datagram with a higher one is malformed.
const maxLoad = 1 << 20

// datagram is one message of a VM: the version, the sender's process id, a sequence number
// and the reports. A report is the target's hash, flags, the age in milliseconds and,
// where the flags say so, the load, the object and the limit. A build that does not know a flag
// rejects the datagram.
type datagram struct {
	from     ProcessID
	sequence uint64
	reports  []Report
}

func (d datagram) encode() []byte {
	b := []byte{datagramVersion}
	b = binary.BigEndian.AppendUint64(b, uint64(d.from))
	b = binary.AppendUvarint(b, d.sequence)
	b = binary.AppendUvarint(b, uint64(len(d.reports)))
	for _, r := range d.reports {
		b = r.encode(b)
	}
	return b
}

func (r Report) encode(b []byte) []byte {
	var flags byte
	if r.HasObject {
		flags |= flagObject
	}
	if r.HasLoad {
		flags |= flagLoad
	}
	if r.Failed {
		flags |= flagFailed
	}
	if r.Unreachable {
		flags |= flagUnreachable
	}
	if r.HasLimit {
		flags |= flagLimit
	}
	b = binary.BigEndian.AppendUint64(b, uint64(r.Target))
	b = append(b, flags)
	b = binary.AppendUvarint(b, uint64(max(0, r.Age.Milliseconds())))
	if r.HasLoad {
		b = binary.AppendUvarint(b, uint64(max(0, r.Load)))
	}
	if r.HasObject {
		b = binary.BigEndian.AppendUint64(b, uint64(r.Object))
	}
	if r.HasLimit {
		b = binary.AppendUvarint(b, uint64(min(maxLimit, math.Round(max(0, r.Limit)*limitScale))))
	}
	return b
}

// reader decodes the fields of a datagram; after an error it returns zeros.
type reader struct {
	b   []byte
	err error
}

func (r *reader) fail() {
	r.b, r.err = nil, errs.Newf("gossip.decode", KindSyntax, "datagram is truncated or malformed")
}

func (r *reader) fixed64() uint64 {
	if len(r.b) < 8 {
		r.fail()
		return 0
	}
	v := binary.BigEndian.Uint64(r.b)
	r.b = r.b[8:]
	return v
}

func (r *reader) byte() byte {
	if len(r.b) < 1 {
		r.fail()
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > limit {
		r.fail()
		return 0
	}
	r.b = r.b[n:]
	return v
}

func decode(b []byte) (datagram, error) {
	r := &reader{b: b}
	var d datagram
	if r.byte() != datagramVersion {
		r.fail()
	}
	d.from, d.sequence = ProcessID(r.fixed64()), r.uvarint(1<<63)
	n := r.uvarint(maxReports)
	for range n {
		if r.err != nil {
			break
		}
		d.reports = append(d.reports, r.report())
	}
	if r.err == nil && len(r.b) > 0 {
		r.fail()
	}
	return d, r.err
}

func (r *reader) report() Report {
	x := Report{Target: place.TargetHash(r.fixed64())}
	flags := r.byte()
	x.HasObject, x.HasLoad, x.Failed = flags&flagObject != 0, flags&flagLoad != 0, flags&flagFailed != 0
	x.Unreachable, x.HasLimit = flags&flagUnreachable != 0, flags&flagLimit != 0
	const maxAgeMillis = uint64(time.Hour / time.Millisecond)
	x.Age = time.Duration(r.uvarint(maxAgeMillis)) * time.Millisecond
	if x.HasLoad {
		x.Load = int(r.uvarint(maxLoad))
	}
	if x.HasObject {
		x.Object = place.Key(r.fixed64())
	}
	if x.HasLimit {
		x.Limit = float64(r.uvarint(maxLimit)) / limitScale
	}
	return x
}
