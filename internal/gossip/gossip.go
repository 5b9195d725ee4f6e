// Package gossip exchanges reports about targets between the VMs of a failure domain:
// the targets' load, the objects that they have handled, and failures. With many VMs,
// each one sends a request to a given target only a few times a minute, too rarely to
// know the target's state from its own requests.
//
// A report is a hint that counts for less as it ages. Reports are sent in small
// datagrams that may be lost, they stay within the failure domain, and no request
// waits for them.
//
// # Usage
//
//	a := gossip.New(gossip.Options{Conn: c, Key: k, Self: id, Peers: peers, Receive: receive, Log: l})
//	a.Add(gossip.Report{Target: hash, Load: 3, HasLoad: true})
//	err := a.Close()
package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Kind classifies the errors of the package.
type Kind string

// KindSyntax means that a datagram is malformed, out of order or not from this deployment.
const KindSyntax Kind = "syntax"

// Error is the error of this package.
type Error = errs.Error[Kind]

// ProcessID identifies one process of a VM; each start of a process gets a new one.
type ProcessID uint64

// Report is what a VM observed about a target with one request.
type Report struct {
	Target place.TargetHash
	// Object is the object that the target handled, if HasObject.
	Object    place.Key
	HasObject bool
	// Load is how many requests run and wait at the target, if HasLoad.
	Load    int
	HasLoad bool
	// Unreachable means that no connection to the target could be established.
	Unreachable bool
	// Failed means that the target broke off the request.
	Failed bool
	// Limit is the number of requests per second that the target accepts from all VMs together, or 0
	// if it has no limit, if HasLimit.
	Limit    float64
	HasLimit bool
	// Age is how long ago the observation was made.
	Age time.Duration
}

const (
	// DefaultInterval is the time between two datagrams to a VM: a fraction of the time for
	// which a reported load counts.
	DefaultInterval = 200 * time.Millisecond
	// maxReports keeps a datagram within one packet; the oldest reports are dropped first.
	maxReports = 40
	// maxPeers bounds the VMs that one datagram is sent to. If there are more, each datagram
	// goes to a new random selection.
	maxPeers = 24
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 2 << 10
	// maxSenders bounds the processes whose last sequence number is remembered.
	maxSenders = 1024
)

// Options are the settings of an agent.
type Options struct {
	Conn net.PacketConn
	Key  *auth.Key
	Self model.VMID
	// Peers lists the addresses of the other VMs of the failure domain.
	Peers func() []string
	// Receive is called with the reports of another VM.
	Receive func(ProcessID, []Report)
	// Every is the time between two datagrams to a VM; 0 means DefaultInterval.
	Every time.Duration
	Log   log.Logger
}

// Counts are the numbers of datagrams that an agent sent, received and rejected.
type Counts struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	Rejected int64 `json:"rejected"`
}

// Agent sends this VM's reports to other VMs and receives theirs.
type Agent struct {
	o    Options
	self ProcessID
	now  func() time.Time
	g    *group.Group

	mu       sync.Mutex
	pending  []observation
	sequence uint64
	// lastSequence is the sequence number of the last datagram of each process.
	lastSequence map[ProcessID]uint64
	counts       Counts
}

type observation struct {
	r  Report
	at time.Time
}

// New starts an agent. Close stops it and closes the connection.
func New(o Options) *Agent {
	if o.Every == 0 {
		o.Every = DefaultInterval
	}
	a := &Agent{o: o, self: ProcessID(rand.Uint64()), now: time.Now, g: group.New(context.Background()), lastSequence: map[ProcessID]uint64{}}
	a.g.Every(o.Every, func(context.Context) { a.send() })
	a.g.Go(a.listen)
	return a
}

// Close stops the agent and closes its connection.
func (a *Agent) Close() error {
	err := a.o.Conn.Close()
	return errors.Join(err, a.g.Close())
}

// Add puts a report into the next datagram.
func (a *Agent) Add(r Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, observation{r, a.now()})
	if extra := len(a.pending) - maxReports; extra > 0 {
		a.pending = a.pending[extra:]
	}
}

// Counts returns how many datagrams were sent, received and rejected.
func (a *Agent) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// send sends the reports that were added since the last datagram.
func (a *Agent) send() {
	b := a.nextDatagram()
	if b == nil {
		return
	}
	peers := a.o.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(len(peers), maxPeers)] {
		to, err := net.ResolveUDPAddr("udp", addr)
		if err == nil {
			_, err = a.o.Conn.WriteTo(b, to)
		}
		if err != nil {
			level.Debug(a.o.Log).Log("msg", "gossip send failed", "to", addr, "err", err)
			continue
		}
		a.mu.Lock()
		a.counts.Sent++
		a.mu.Unlock()
	}
}

// nextDatagram returns a signed datagram of the pending reports, or nil if there are none.
func (a *Agent) nextDatagram() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) == 0 {
		return nil
	}
	now := a.now()
	d := datagram{from: a.self, sequence: a.sequence + 1}
	for _, x := range a.pending {
		x.r.Age += now.Sub(x.at)
		d.reports = append(d.reports, x.r)
	}
	a.sequence++
	a.pending = nil
	return a.o.Key.Sign(d.encode())
}

// listen receives datagrams until the connection is closed.
func (a *Agent) listen(ctx context.Context) error {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := a.o.Conn.ReadFrom(b)
		switch {
		case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return ctx.Err()
		case err != nil:
			// The kernel may report here that a peer is gone.
			level.Debug(a.o.Log).Log("msg", "gossip receive failed", "err", err)
		default:
			a.receive(b[:n])
		}
	}
}

// receive handles one datagram.
func (a *Agent) receive(b []byte) {
	d, err := open(a.o.Key, b)
	if err == nil && !a.advance(d) {
		err = errs.Newf("gossip.receive", KindSyntax, "datagram %d of process %x is not newer than the last one", d.sequence, d.from)
	}
	a.mu.Lock()
	if err != nil {
		a.counts.Rejected++
	} else {
		a.counts.Received++
	}
	a.mu.Unlock()
	if err != nil {
		level.Debug(a.o.Log).Log("msg", "gossip datagram rejected", "err", err)
		return
	}
	a.o.Receive(d.from, d.reports)
}

// advance records the sequence number of a datagram and reports whether it is newer than the
// last one of its sender; the agent's own datagrams are never newer. A datagram that was
// delayed on the way reports outdated loads.
func (a *Agent) advance(d datagram) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if d.from == a.self || d.sequence <= a.lastSequence[d.from] {
		return false
	}
	if len(a.lastSequence) >= maxSenders {
		clear(a.lastSequence)
	}
	a.lastSequence[d.from] = d.sequence
	return true
}

func open(k *auth.Key, b []byte) (datagram, error) {
	p, ok := k.Verify(b)
	if !ok {
		return datagram{}, errs.Newf("gossip.open", KindSyntax, "signature does not match the deployment's key")
	}
	return decode(p)
}
