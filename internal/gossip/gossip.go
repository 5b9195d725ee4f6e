// Package gossip shares among the VMs of a failure domain what each of them sees of
// targets: their load, the objects that they have handled, and failures. With many
// VMs each one meets a target a few times a minute, too seldom to know it by itself.
//
// What is shared is a hint that falls off with its age. It goes in small datagrams
// that may be lost, stays within the failure domain, and no request waits for it.
//
// # Usage
//
//	s := gossip.New(gossip.Options{Conn: c, Key: k, Self: id, Peers: world.Neighbours, Hear: f.hear, Log: l})
//	s.Add(gossip.Report{Target: seed, Load: 3, Loaded: true})
//	err := s.Close()
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

// Kind tells the errors of the package apart.
type Kind string

// KindSyntax means that a datagram cannot be read, or is not of this deployment.
const KindSyntax Kind = "syntax"

// Error is the error of this package.
type Error = errs.Error[Kind]

// ProcessID names a process of a ProcessID: it is another one after each start.
type ProcessID uint64

// Report is what a VM saw of a target with one request.
type Report struct {
	Target place.TargetHash
	// Object is what the target handled, where Handled.
	Object    place.Key
	HasObject bool
	// Load is how many requests run and wait at the target, where Loaded.
	Load    int
	HasLoad bool
	// Unreachable says that no connection could be made to the target.
	Unreachable bool
	// Failed says that the target broke off.
	Failed bool
	// Age is how long ago that was.
	Age time.Duration
}

const (
	// DefaultInterval is the time between two datagrams to a VM: a part of the time for
	// which loads are believed.
	DefaultInterval = 200 * time.Millisecond
	// maxReports bounds a datagram to a packet; the oldest reports go first.
	maxReports = 40
	// maxPeers bounds the VMs that are told at a time; with more, others each time.
	maxPeers = 24
	// maxDatagram is the largest that is read.
	maxDatagram = 2 << 10
	// maxSenders bounds the processes whose last datagram is remembered.
	maxSenders = 1024
)

// Options are the settings of a share.
type Options struct {
	Conn net.PacketConn
	Key  *auth.Key
	Self model.VMID
	// Peers lists the addresses of the other VMs of the failure domain.
	Peers func() []string
	// Receive is given what another VM saw.
	Receive func(ProcessID, []Report)
	// Every is the time between two datagrams to a VM; 0 means DefaultEvery.
	Every time.Duration
	Log   log.Logger
}

// Counts are what a share has done.
type Counts struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	Rejected int64 `json:"rejected"`
}

// Agent tells other VMs what this one sees, and hears what they see.
type Agent struct {
	o    Options
	self ProcessID
	now  func() time.Time
	g    *group.Group

	mu       sync.Mutex
	pending  []seen
	sequence uint64
	// heard is the sequence of the last datagram of each process.
	heard  map[ProcessID]uint64
	counts Counts
}

type seen struct {
	r  Report
	at time.Time
}

// New returns a share. Close stops it and closes the connection.
func New(o Options) *Agent {
	if o.Every == 0 {
		o.Every = DefaultInterval
	}
	s := &Agent{o: o, self: ProcessID(rand.Uint64()), now: time.Now, g: group.New(context.Background()), heard: map[ProcessID]uint64{}}
	s.g.Every(o.Every, func(context.Context) { s.tell() })
	s.g.Go(s.listen)
	return s
}

// Close stops the share.
func (s *Agent) Close() error {
	err := s.o.Conn.Close()
	return errors.Join(err, s.g.Close())
}

// Add takes a report for the next datagram.
func (s *Agent) Add(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, seen{r, s.now()})
	if extra := len(s.pending) - maxReports; extra > 0 {
		s.pending = s.pending[extra:]
	}
}

// Counts returns what the share has done.
func (s *Agent) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// tell sends what was added since the last time.
func (s *Agent) tell() {
	b := s.take()
	if b == nil {
		return
	}
	peers := s.o.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, a := range peers[:min(len(peers), maxPeers)] {
		to, err := net.ResolveUDPAddr("udp", a)
		if err == nil {
			_, err = s.o.Conn.WriteTo(b, to)
		}
		if err != nil {
			level.Debug(s.o.Log).Log("msg", "sights not told", "to", a, "err", err)
			continue
		}
		s.mu.Lock()
		s.counts.Sent++
		s.mu.Unlock()
	}
}

// take returns the datagram of what is pending, or nil.
func (s *Agent) take() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return nil
	}
	now := s.now()
	d := datagram{from: s.self, sequence: s.sequence + 1}
	for _, x := range s.pending {
		x.r.Age += now.Sub(x.at)
		d.reports = append(d.reports, x.r)
	}
	s.sequence++
	s.pending = nil
	return s.o.Key.Seal(d.encode())
}

// listen hears until the connection is closed.
func (s *Agent) listen(ctx context.Context) error {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := s.o.Conn.ReadFrom(b)
		switch {
		case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return ctx.Err()
		case err != nil:
			// A peer that is gone may be told of by the kernel here.
			level.Debug(s.o.Log).Log("msg", "sights not heard", "err", err)
		default:
			s.hear(b[:n])
		}
	}
}

// hear takes one datagram.
func (s *Agent) hear(b []byte) {
	d, err := open(s.o.Key, b)
	if err == nil && !s.newer(d) {
		err = errs.Newf("gossip.hear", KindSyntax, "datagram %d of process %x was overtaken", d.sequence, d.from)
	}
	s.mu.Lock()
	if err != nil {
		s.counts.Rejected++
	} else {
		s.counts.Received++
	}
	s.mu.Unlock()
	if err != nil {
		level.Debug(s.o.Log).Log("msg", "sights rejected", "err", err)
		return
	}
	s.o.Receive(d.from, d.reports)
}

// newer tells whether a datagram is later than the last of its sender: one that was
// held up on the way tells of loads that are long over.
func (s *Agent) newer(d datagram) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.from == s.self || d.sequence <= s.heard[d.from] {
		return false
	}
	if len(s.heard) >= maxSenders {
		clear(s.heard)
	}
	s.heard[d.from] = d.sequence
	return true
}

func open(k *auth.Key, b []byte) (datagram, error) {
	p, ok := k.Open(b)
	if !ok {
		return datagram{}, errs.Newf("gossip.open", KindSyntax, "signature does not match the deployment's key")
	}
	return decode(p)
}
