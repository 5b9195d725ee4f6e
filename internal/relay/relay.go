// Package relay is a TCP relay between processes that simulates a network: it delays and
// counts the bytes that pass, holds them back during a cut, and can discard them
// silently while connections stay open. It serves tests and the demo.
//
// # Usage
//
//	n := relay.New()
//	err := n.Proxy("127.0.1.1:7100", "127.0.1.1:7101")
//	n.Cut("127.0.1.1", "127.0.1.2")
//	n.Close()
//
// A host is an IP address. Processes connect from their own IP address, so the relay
// knows both ends of a connection.
package relay

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/group"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 16 << 10
	queueLength     = 256
	cutPollInterval = 10 * time.Millisecond
)

// Pair is a direction between two hosts or zones.
type Pair struct {
	From, To string
}

// endpoint is one side of a relayed connection.
type endpoint struct {
	net.Conn
	pair   Pair
	silent atomic.Bool
}

// pathState is the state of the paths between hosts. It is replaced as a whole and never
// modified, so that the data path needs no lock.
type pathState struct {
	cut      map[Pair]bool
	isolated map[string]bool
	delay    func(from, to string) time.Duration
	zone     func(host string) string
}

func (s *pathState) isCut(p Pair) bool {
	return s.cut[p] || s.isolated[p.From] != s.isolated[p.To]
}

// Network is a set of relayed addresses with the state of the paths between hosts.
type Network struct {
	g         *group.Group
	pathState atomic.Pointer[pathState]
	start     time.Time

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*endpoint]bool
	closed    bool

	countMu sync.Mutex
	count   map[Pair]map[int64]int64
}

// New returns an empty network without delays.
func New() *Network {
	n := &Network{g: group.New(context.Background()), count: map[Pair]map[int64]int64{}, conns: map[*endpoint]bool{}, start: time.Now()}
	n.pathState.Store(&pathState{
		cut: map[Pair]bool{}, isolated: map[string]bool{},
		delay: func(string, string) time.Duration { return 0 },
		zone:  func(string) string { return "" },
	})
	return n
}

// change replaces the path state by a modified copy.
func (n *Network) change(f func(s *pathState)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := *n.pathState.Load()
	s.cut, s.isolated = maps.Clone(s.cut), maps.Clone(s.isolated)
	f(&s)
	n.pathState.Store(&s)
}

// Proxy accepts connections at an address and relays them to backend.
func (n *Network) Proxy(addr, backend string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	n.g.Go(func(ctx context.Context) error {
		n.accept(ctx, l, backend)
		return nil
	})
	return nil
}

func (n *Network) accept(ctx context.Context, l net.Listener, backend string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.g.Go(func(context.Context) error {
			n.serve(ctx, c, hostOf(l.Addr()), backend)
			return nil
		})
	}
}

func hostOf(a net.Addr) string {
	h, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	return h
}

func (n *Network) serve(ctx context.Context, c net.Conn, to, backend string) {
	p := Pair{hostOf(c.RemoteAddr()), to}
	inbound := n.track(c, p)
	defer n.untrack(inbound)
	for n.pathState.Load().isCut(p) {
		if !sleep(ctx, cutPollInterval) {
			return
		}
	}
	// The backend sees the connecting host's address, as without the relay.
	from := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.From)}, Control: bindAddressNoPort}
	b, err := from.DialContext(ctx, "tcp", backend)
	if err != nil {
		return
	}
	outbound := n.track(b, p)
	defer n.untrack(outbound)
	done := make(chan struct{}, 2)
	n.pipe(ctx, inbound, outbound, p, done)
	n.pipe(ctx, outbound, inbound, Pair{p.To, p.From}, done)
	<-done
	<-done
}

// bindAddressNoPort defers the choice of the local port until connect. A port chosen at
// bind time must be unused by every other connection of the host, whatever its
// destination, and there are too few such ports.
func bindAddressNoPort(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	return errors.Join(err, failed)
}

func (n *Network) track(c net.Conn, p Pair) *endpoint {
	l := &endpoint{Conn: c, pair: p}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return l
	}
	n.conns[l] = true
	return l
}

func (n *Network) untrack(l *endpoint) {
	l.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, l)
}

type segment struct {
	due time.Time
	b   []byte
}

// pipe relays bytes in one direction: a reader stamps each segment with the time when it
// is due, and a writer sends it at that time.
func (n *Network) pipe(ctx context.Context, from, to *endpoint, p Pair, done chan struct{}) {
	q := make(chan segment, queueLength)
	n.g.Go(func(context.Context) error {
		defer close(q)
		n.read(ctx, from, p, q)
		return nil
	})
	n.g.Go(func(context.Context) error {
		defer func() { done <- struct{}{} }()
		n.write(ctx, to, p, q)
		return nil
	})
}

func (n *Network) read(ctx context.Context, from net.Conn, p Pair, q chan segment) {
	b := make([]byte, readBufferBytes)
	for {
		k, err := from.Read(b)
		if k > 0 {
			d := n.pathState.Load().delay(p.From, p.To)
			select {
			case q <- segment{time.Now().Add(d), bytes.Clone(b[:k])}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write holds data back while the path is cut, as TCP retransmission does.
func (n *Network) write(ctx context.Context, to *endpoint, p Pair, q chan segment) {
	defer closeWrite(to.Conn)
	for x := range q {
		if !sleep(ctx, time.Until(x.due)) {
			return
		}
		for n.pathState.Load().isCut(p) {
			if !sleep(ctx, cutPollInterval) {
				return
			}
		}
		if to.silent.Load() {
			continue
		}
		n.countBytes(p, len(x.b))
		if _, err := to.Write(x.b); err != nil {
			// Drain the queue so that the reader does not block; it ends when its side closes.
			for range q {
			}
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// The peer may have closed already.
		_ = t.CloseWrite()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// bucketsPerSecond is the resolution of the byte counts.
const bucketsPerSecond = 10

func (n *Network) countBytes(p Pair, k int) {
	s := n.pathState.Load()
	z := Pair{s.zone(p.From), s.zone(p.To)}
	if z.From == "" || z.To == "" || z.From == z.To {
		return
	}
	n.countMu.Lock()
	defer n.countMu.Unlock()
	if n.count[z] == nil {
		n.count[z] = map[int64]int64{}
	}
	n.count[z][int64(time.Since(n.start)*bucketsPerSecond/time.Second)] += int64(k)
}

// MaxBytesPerSecond returns the maximum number of bytes between two zones in any second.
func (n *Network) MaxBytesPerSecond() map[Pair]int64 {
	n.countMu.Lock()
	defer n.countMu.Unlock()
	out := map[Pair]int64{}
	for z, m := range n.count {
		for at := range m {
			sum := int64(0)
			for i := range int64(bucketsPerSecond) {
				sum += m[at+i]
			}
			out[z] = max(out[z], sum)
		}
	}
	return out
}

// Close closes all listeners and connections.
func (n *Network) Close() error {
	n.mu.Lock()
	n.closed = true
	for _, l := range n.listeners {
		l.Close()
	}
	for c := range n.conns {
		c.Close()
	}
	n.mu.Unlock()
	return n.g.Close()
}
