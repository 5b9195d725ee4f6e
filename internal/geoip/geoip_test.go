package geoip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"gotest.tools/v3/assert"
)

func entry(p string, r model.RegionID) Entry {
	return Entry{Block: netip.MustParsePrefix(p), Region: r}
}

func TestRegion(t *testing.T) {
	x, err := New([]Entry{
		entry("10.0.0.0/8", "a"), entry("10.1.0.0/16", "b"), entry("10.1.2.0/24", "c"),
		entry("10.3.0.0/16", "d"), entry("10.1.0.0/24", "e"), entry("192.0.2.0/32", "f"),
	})
	assert.NilError(t, err)
	tests := []struct {
		addr string
		want model.RegionID
	}{
		{"10.0.0.1", "a"}, {"10.255.0.1", "a"}, {"10.1.9.9", "b"}, {"10.1.2.3", "c"}, {"10.1.0.0", "e"},
		{"10.1.3.0", "b"}, {"10.2.0.0", "a"}, {"10.3.1.1", "d"}, {"10.4.0.0", "a"}, {"192.0.2.0", "f"},
		{"192.0.2.1", ""}, {"9.9.9.9", ""}, {"11.0.0.0", ""}, {"::1", ""},
	}
	for _, tt := range tests {
		t.Run(tt.addr, func(t *testing.T) {
			r, ok := x.Region(netip.MustParseAddr(tt.addr))
			assert.Equal(t, r, tt.want)
			assert.Equal(t, ok, tt.want != "")
		})
	}
}

func TestNewRejects(t *testing.T) {
	for _, list := range [][]Entry{
		{entry("10.0.0.0/8", "a"), entry("10.0.0.1/8", "b")},
		{entry("2001:db8::/32", "a")},
		{{}},
	} {
		_, err := New(list)
		assert.Assert(t, errs.Is(err, KindInvalid), "%v", err)
	}
}

// blocks returns n blocks of length 24 in 28 regions.
func blocks(n int) []Entry {
	out := make([]Entry, 0, n)
	for i := range n {
		a := uint32(i) << 8
		b := netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), 0})
		out = append(out, Entry{Block: netip.PrefixFrom(b, 24), Region: model.RegionID(fmt.Sprintf("r%d", i%28))})
	}
	return out
}

func BenchmarkRegion(b *testing.B) {
	for _, n := range []int{45_000, 450_000, 4_500_000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			list := blocks(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t, err := New(list)
			assert.NilError(b, err)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(list)
			rnd := rand.New(rand.NewPCG(1, 1))
			for b.Loop() {
				v := rnd.Uint32N(uint32(n)) << 8
				t.Region(netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), 1}))
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/block")
		})
	}
}
