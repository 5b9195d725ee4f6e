package gossip

import (
	"encoding/binary"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/place"
)

// datagramVersion is the first byte of a datagram.
const datagramVersion = 1

// The flags of a report.
const (
	flagHandled = 1 << iota
	flagLoaded
	flagFailed
	flagUnreached
)

// maxLoad bounds a load that is believed.
const maxLoad = 1 << 20

// datagram is what one VM tells at a time: its version, the sender's id, a sequence
// and the reports. A report is the target's seed, flags, the age in milliseconds, and
// where the flags say so the load and the object.
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
		flags |= flagHandled
	}
	if r.HasLoad {
		flags |= flagLoaded
	}
	if r.Failed {
		flags |= flagFailed
	}
	if r.Unreachable {
		flags |= flagUnreached
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
	return b
}

// reader reads the parts of a datagram; after an error it returns zeros.
type reader struct {
	b   []byte
	err error
}

func (r *reader) fail() {
	r.b, r.err = nil, errs.Newf("gossip.decode", KindSyntax, "datagram is cut or malformed")
}

func (r *reader) fixed() uint64 {
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

func (r *reader) number(most uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > most {
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
	d.from, d.sequence = ProcessID(r.fixed()), r.number(1<<63)
	n := r.number(maxReports)
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
	x := Report{Target: place.TargetHash(r.fixed())}
	flags := r.byte()
	x.HasObject, x.HasLoad, x.Failed = flags&flagHandled != 0, flags&flagLoaded != 0, flags&flagFailed != 0
	x.Unreachable = flags&flagUnreached != 0
	const longest = uint64(time.Hour / time.Millisecond)
	x.Age = time.Duration(r.number(longest)) * time.Millisecond
	if x.HasLoad {
		x.Load = int(r.number(maxLoad))
	}
	if x.HasObject {
		x.Object = place.Key(r.fixed())
	}
	return x
}
