package relay

import (
	"net"
	"time"
)

// SetDelay sets the one-way delay between hosts.
func (n *Network) SetDelay(f func(from, to string) time.Duration) {
	n.change(func(w *ways) { w.delay = f })
}

// SetZone makes the network count the bytes between zones; a host in zone "" is not counted.
func (n *Network) SetZone(f func(host string) string) {
	n.change(func(w *ways) { w.zone = f })
}

// Cut loses all that is sent between two hosts, both ways.
func (n *Network) Cut(a, b string) {
	n.set(a, b, true)
}

// Heal ends a cut.
func (n *Network) Heal(a, b string) {
	n.set(a, b, false)
}

// CutOneWay loses all that is sent from one host to another.
func (n *Network) CutOneWay(from, to string) {
	n.change(func(w *ways) { w.cut[Pair{from, to}] = true })
}

// HealAll ends all cuts and losses.
func (n *Network) HealAll() {
	n.change(func(w *ways) {
		clear(w.cut)
		clear(w.lost)
	})
}

// Silence makes the connections that a host has now carry nothing any more, and
// leaves them open; new ones work.
func (n *Network) Silence(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.conns {
		if l.pair.From == host || l.pair.To == host {
			l.silent.Store(true)
		}
	}
}

// Reset breaks off the connections that a host has now.
func (n *Network) Reset(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.conns {
		if l.pair.From != host && l.pair.To != host {
			continue
		}
		if t, ok := l.Conn.(*net.TCPConn); ok {
			// Without lingering the other side sees a reset, not an end.
			_ = t.SetLinger(0)
		}
		l.Close()
	}
}

// Lose cuts hosts off from all others; they still reach each other.
func (n *Network) Lose(hosts []string) {
	n.mark(hosts, true)
}

// Return ends the loss of hosts.
func (n *Network) Return(hosts []string) {
	n.mark(hosts, false)
}

func (n *Network) mark(hosts []string, lost bool) {
	n.change(func(w *ways) {
		for _, h := range hosts {
			w.lost[h] = lost
		}
	})
}

func (n *Network) set(a, b string, cut bool) {
	n.change(func(w *ways) { w.cut[Pair{a, b}], w.cut[Pair{b, a}] = cut, cut })
}
