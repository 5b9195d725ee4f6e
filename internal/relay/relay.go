// Package relay stands between processes as the network does: it delays what
// passes, counts it, and can lose it silently while connections stay open.
// It serves tests and the demo.
//
// # Usage
//
//	n := relay.New()
//	err := n.Front("127.0.1.1:7100", "127.0.1.1:7101")
//	n.Cut("127.0.1.1", "127.0.1.2")
//	n.Close()
//
// A host is an IP number. Processes make their connections from their own IP
// number, so the relay knows both ends.
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
	chunk      = 16 << 10
	queueDepth = 256
	cutPoll    = 10 * time.Millisecond
)

// Pair is a direction between two hosts.
type Pair struct {
	From, To string
}

// link is one side of a connection.
type link struct {
	net.Conn
	pair   Pair
	silent atomic.Bool
}

// ways is the state of the ways between hosts. It is replaced, never changed, so
// that what passes takes no lock.
type ways struct {
	cut   map[Pair]bool
	lost  map[string]bool
	delay func(from, to string) time.Duration
	zone  func(host string) string
}

func (w *ways) isCut(p Pair) bool {
	return w.cut[p] || w.lost[p.From] != w.lost[p.To]
}

// Network is a set of fronts with the state of the ways between hosts.
type Network struct {
	g     *group.Group
	ways  atomic.Pointer[ways]
	start time.Time

	mu     sync.Mutex
	lis    []net.Listener
	conns  map[*link]bool
	closed bool

	countMu sync.Mutex
	count   map[Pair]map[int64]int64
}

// New returns an empty network without delays.
func New() *Network {
	n := &Network{g: group.New(context.Background()), count: map[Pair]map[int64]int64{}, conns: map[*link]bool{}, start: time.Now()}
	n.ways.Store(&ways{
		cut: map[Pair]bool{}, lost: map[string]bool{},
		delay: func(string, string) time.Duration { return 0 },
		zone:  func(string) string { return "" },
	})
	return n
}

// change replaces the state of the ways by a changed copy.
func (n *Network) change(f func(w *ways)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := *n.ways.Load()
	w.cut, w.lost = maps.Clone(w.cut), maps.Clone(w.lost)
	f(&w)
	n.ways.Store(&w)
}

// Proxy accepts connections at an address and passes them to another.
func (n *Network) Proxy(addr, behind string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.lis = append(n.lis, l)
	n.mu.Unlock()
	n.g.Go(func(ctx context.Context) error {
		n.accept(ctx, l, behind)
		return nil
	})
	return nil
}

func (n *Network) accept(ctx context.Context, l net.Listener, behind string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.g.Go(func(context.Context) error {
			n.serve(ctx, c, hostOf(l.Addr()), behind)
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

func (n *Network) serve(ctx context.Context, c net.Conn, to, behind string) {
	p := Pair{hostOf(c.RemoteAddr()), to}
	near := n.keep(c, p)
	defer n.drop(near)
	for n.ways.Load().isCut(p) {
		if !pause(ctx, cutPoll) {
			return
		}
	}
	// The process behind sees the host that connects, as without the relay.
	from := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.From)}, Control: portAtConnect}
	b, err := from.DialContext(ctx, "tcp", behind)
	if err != nil {
		return
	}
	far := n.keep(b, p)
	defer n.drop(far)
	done := make(chan struct{}, 2)
	n.pipe(ctx, near, far, p, done)
	n.pipe(ctx, far, near, Pair{p.To, p.From}, done)
	<-done
	<-done
}

// portAtConnect leaves the choice of the port until the connection is made. At the
// time of binding a port would be taken that no other connection of the host uses,
// to whatever destination, and there are too few.
func portAtConnect(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	return errors.Join(err, failed)
}

func (n *Network) keep(c net.Conn, p Pair) *link {
	l := &link{Conn: c, pair: p}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return l
	}
	n.conns[l] = true
	return l
}

func (n *Network) drop(l *link) {
	l.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, l)
}

type parcel struct {
	due time.Time
	b   []byte
}

// pipe passes bytes one way: a reader stamps them, a writer lets them go when they are due.
func (n *Network) pipe(ctx context.Context, from, to *link, p Pair, done chan struct{}) {
	q := make(chan parcel, queueDepth)
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

func (n *Network) read(ctx context.Context, from net.Conn, p Pair, q chan parcel) {
	b := make([]byte, chunk)
	for {
		k, err := from.Read(b)
		if k > 0 {
			d := n.ways.Load().delay(p.From, p.To)
			select {
			case q <- parcel{time.Now().Add(d), bytes.Clone(b[:k])}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write holds back what is sent while the way is cut, as retransmission does.
func (n *Network) write(ctx context.Context, to *link, p Pair, q chan parcel) {
	defer closeWrite(to.Conn)
	for x := range q {
		if !pause(ctx, time.Until(x.due)) {
			return
		}
		for n.ways.Load().isCut(p) {
			if !pause(ctx, cutPoll) {
				return
			}
		}
		if to.silent.Load() {
			continue
		}
		n.add(p, len(x.b))
		if _, err := to.Write(x.b); err != nil {
			// The reader ends when its side closes.
			for range q {
			}
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// The other side may be closed already.
		_ = t.CloseWrite()
	}
}

func pause(ctx context.Context, d time.Duration) bool {
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

// bucketsPerSecond is how finely bytes are counted.
const bucketsPerSecond = 10

func (n *Network) add(p Pair, k int) {
	w := n.ways.Load()
	z := Pair{w.zone(p.From), w.zone(p.To)}
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

// MostPerSecond returns the most bytes that passed between two zones in any second.
func (n *Network) MostPerSecond() map[Pair]int64 {
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

// Close ends all connections.
func (n *Network) Close() error {
	n.mu.Lock()
	n.closed = true
	for _, l := range n.lis {
		l.Close()
	}
	for c := range n.conns {
		c.Close()
	}
	n.mu.Unlock()
	return n.g.Close()
}
