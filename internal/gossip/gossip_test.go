package gossip

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/place"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// collector collects the reports that a VM receives.
type collector struct {
	mu      sync.Mutex
	reports []Report
}

func (c *collector) receive(_ ProcessID, r []Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, r...)
}

func (c *collector) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reports)
}

func packetConn(t *testing.T) net.PacketConn {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	return c
}

func newAgent(t *testing.T, c net.PacketConn, received *collector, peers ...net.PacketConn) *Agent {
	t.Helper()
	a := New(Options{
		Conn: c, Key: auth.NewKey("k"), Self: model.VMID("vm"), Receive: received.receive, Every: 10 * time.Millisecond, Log: log.NewNopLogger(),
		Peers: func() []string {
			var out []string
			for _, p := range peers {
				out = append(out, p.LocalAddr().String())
			}
			return out
		},
	})
	t.Cleanup(func() { assert.NilError(t, a.Close()) })
	return a
}

func TestEveryPeerReceives(t *testing.T) {
	conn1, conn2, conn3 := packetConn(t), packetConn(t), packetConn(t)
	var one, two, three collector
	a := newAgent(t, conn1, &one, conn2, conn3)
	newAgent(t, conn2, &two)
	newAgent(t, conn3, &three)
	r := Report{Target: 7, Object: 9, HasObject: true, Load: 4, HasLoad: true, Limit: 1.9, HasLimit: true}
	a.Add(r)
	for i := 0; two.count()+three.count() < 2 && i < 100; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, one.count(), 0)
	for _, x := range []*collector{&two, &three} {
		assert.Equal(t, x.count(), 1)
		got := x.reports[0]
		got.Age = 0
		assert.DeepEqual(t, got, r)
	}
}

// A datagram that is forged, truncated, malformed, repeated or out of order is rejected.
func TestRejectedDatagrams(t *testing.T) {
	k := auth.NewKey("k")
	encoded := func(seq uint64) []byte {
		return datagram{from: 5, sequence: seq, reports: []Report{{Target: 1}}}.encode()
	}
	tests := []struct {
		name string
		b    []byte
		want int
	}{
		{"valid", k.Sign(encoded(8)), 1},
		{"forged", auth.NewKey("other").Sign(encoded(8)), 0},
		{"not signed", encoded(8), 0},
		{"empty", nil, 0},
		{"out of order", k.Sign(encoded(6)), 0},
		{"another version", k.Sign(append([]byte{9}, encoded(8)[1:]...)), 0},
		{"truncated", k.Sign(encoded(8)[:12]), 0},
		{"trailing byte", k.Sign(append(encoded(8), 0)), 0},
		{"too many reports", k.Sign(datagram{from: 5, sequence: 8, reports: make([]Report, maxReports+1)}.encode()), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c collector
			a := &Agent{o: Options{Key: k, Receive: c.receive, Log: log.NewNopLogger()}, lastSequence: map[ProcessID]uint64{5: 7}}
			a.receive(tt.b)
			a.receive(tt.b)
			assert.Equal(t, c.count(), tt.want)
		})
	}
}

func TestDatagramRoundTrip(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		d := datagram{from: ProcessID(r.Uint64()), sequence: r.Uint64N(1 << 40)}
		for range r.IntN(maxReports) {
			x := Report{Target: place.TargetHash(r.Uint64()), Failed: r.IntN(2) == 0, Unreachable: r.IntN(2) == 0, Age: time.Duration(r.IntN(5000)) * time.Millisecond}
			if x.HasObject = r.IntN(2) == 0; x.HasObject {
				x.Object = place.Key(r.Uint64())
			}
			if x.HasLoad = r.IntN(2) == 0; x.HasLoad {
				x.Load = r.IntN(100)
			}
			d.reports = append(d.reports, x)
		}
		got, err := decode(d.encode())
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(d))
	}
}

// Load pattern: a burst of requests and a failure domain of many VMs. The pending reports,
// the datagrams and the remembered senders stay bounded.
func TestBounds(t *testing.T) {
	var c collector
	a := &Agent{o: Options{Key: auth.NewKey("k"), Receive: c.receive}, now: time.Now, lastSequence: map[ProcessID]uint64{}}
	for i := range 10 * maxReports {
		a.Add(Report{Target: place.TargetHash(i), Object: place.Key(i), HasObject: true, Load: i, HasLoad: true})
	}
	b := a.nextDatagram()
	assert.Assert(t, len(b) < 1400, "%d bytes do not fit into a packet", len(b))
	d, err := open(a.o.Key, b)
	assert.NilError(t, err)
	assert.Equal(t, d.reports[maxReports-1].Target, place.TargetHash(10*maxReports-1), "the newest report was dropped")
	for i := range 2 * maxSenders {
		a.advance(datagram{from: ProcessID(i + 1), sequence: 1})
	}
	assert.Assert(t, len(a.lastSequence) <= maxSenders)
}

func FuzzDecode(f *testing.F) {
	f.Add(datagram{from: 1, sequence: 2, reports: []Report{{Target: 3, HasLoad: true, Load: 4, HasObject: true, Object: 5}}}.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := decode(b)
		if err == nil && len(d.reports) > maxReports {
			t.Fatal("too many reports")
		}
	})
}
