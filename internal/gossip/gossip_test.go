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

// collector keeps what a VM hears.
type collector struct {
	mu      sync.Mutex
	reports []Report
}

func (c *collector) hear(_ ProcessID, r []Report) {
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

func newShare(t *testing.T, c net.PacketConn, hear *collector, peers ...net.PacketConn) *Agent {
	t.Helper()
	s := New(Options{
		Conn: c, Key: auth.NewKey("k"), Self: model.VMID("vm"), Receive: hear.hear, Every: 10 * time.Millisecond, Log: log.NewNopLogger(),
		Peers: func() []string {
			var out []string
			for _, p := range peers {
				out = append(out, p.LocalAddr().String())
			}
			return out
		},
	})
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s
}

func TestEveryPeerHears(t *testing.T) {
	a, b, c := packetConn(t), packetConn(t), packetConn(t)
	var one, two, three collector
	s := newShare(t, a, &one, b, c)
	newShare(t, b, &two)
	newShare(t, c, &three)
	r := Report{Target: 7, Object: 9, HasObject: true, Load: 4, HasLoad: true}
	s.Add(r)
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

// A datagram that is forged, cut, damaged, repeated or overtaken is passed over.
func TestRejectedDatagrams(t *testing.T) {
	k := auth.NewKey("k")
	of := func(seq uint64) []byte {
		return datagram{from: 5, sequence: seq, reports: []Report{{Target: 1}}}.encode()
	}
	tests := []struct {
		name string
		b    []byte
		want int
	}{
		{"sound", k.Seal(of(8)), 1},
		{"forged", auth.NewKey("other").Seal(of(8)), 0},
		{"not signed", of(8), 0},
		{"empty", nil, 0},
		{"overtaken", k.Seal(of(6)), 0},
		{"another version", k.Seal(append([]byte{9}, of(8)[1:]...)), 0},
		{"cut", k.Seal(of(8)[:12]), 0},
		{"too long", k.Seal(append(of(8), 0)), 0},
		{"too many", k.Seal(datagram{from: 5, sequence: 8, reports: make([]Report, maxReports+1)}.encode()), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c collector
			s := &Agent{o: Options{Key: k, Receive: c.hear, Log: log.NewNopLogger()}, heard: map[ProcessID]uint64{5: 7}}
			s.hear(tt.b)
			s.hear(tt.b)
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

// Load pattern: a rush of requests and a failure domain of many VMs. What is kept
// and what is sent stays bounded.
func TestBounds(t *testing.T) {
	var c collector
	s := &Agent{o: Options{Key: auth.NewKey("k"), Receive: c.hear}, now: time.Now, heard: map[ProcessID]uint64{}}
	for i := range 10 * maxReports {
		s.Add(Report{Target: place.TargetHash(i), Object: place.Key(i), HasObject: true, Load: i, HasLoad: true})
	}
	b := s.take()
	assert.Assert(t, len(b) < 1400, "%d bytes do not fit into a packet", len(b))
	d, err := open(s.o.Key, b)
	assert.NilError(t, err)
	assert.Equal(t, d.reports[maxReports-1].Target, place.TargetHash(10*maxReports-1), "the newest are told")
	for i := range 2 * maxSenders {
		s.newer(datagram{from: ProcessID(i + 1), sequence: 1})
	}
	assert.Assert(t, len(s.heard) <= maxSenders)
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
