package relay

import (
	"net"
	"time"
)

// SetDelay sets the one-way delay between hosts.
func (n *Network) SetDelay(f func(from, to string) time.Duration) {
	n.change(func(s *pathState) { s.delay = f })
}

// SetZone sets the zone of each host. Bytes between zones are counted; hosts in zone "" are not.
func (n *Network) SetZone(f func(host string) string) {
	n.change(func(s *pathState) { s.zone = f })
}

// Cut blocks all traffic between two hosts, in both directions, until Heal or HealAll.
func (n *Network) Cut(a, b string) {
	n.setCut(a, b, true)
}

// Heal ends a cut between two hosts, in both directions.
func (n *Network) Heal(a, b string) {
	n.setCut(a, b, false)
}

// CutOneWay blocks all traffic from one host to another.
func (n *Network) CutOneWay(from, to string) {
	n.change(func(s *pathState) { s.cut[Pair{from, to}] = true })
}

// HealAll ends all cuts and isolations.
func (n *Network) HealAll() {
	n.change(func(s *pathState) {
		clear(s.cut)
		clear(s.isolated)
	})
}

// Silence makes the current connections of a host discard all data while they stay open;
// new connections work.
func (n *Network) Silence(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.conns {
		if l.pair.From == host || l.pair.To == host {
			l.silent.Store(true)
		}
	}
}

// Reset resets the current connections of a host.
func (n *Network) Reset(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.conns {
		if l.pair.From != host && l.pair.To != host {
			continue
		}
		if t, ok := l.Conn.(*net.TCPConn); ok {
			// With SO_LINGER 0 the peer sees a reset (RST) instead of an orderly close (FIN).
			_ = t.SetLinger(0)
		}
		l.Close()
	}
}

// Isolate cuts hosts off from all others; they still reach each other.
func (n *Network) Isolate(hosts []string) {
	n.setIsolated(hosts, true)
}

// Rejoin ends the isolation of hosts.
func (n *Network) Rejoin(hosts []string) {
	n.setIsolated(hosts, false)
}

func (n *Network) setIsolated(hosts []string, isolated bool) {
	n.change(func(s *pathState) {
		for _, h := range hosts {
			s.isolated[h] = isolated
		}
	})
}

func (n *Network) setCut(a, b string, cut bool) {
	n.change(func(s *pathState) { s.cut[Pair{a, b}], s.cut[Pair{b, a}] = cut, cut })
}
