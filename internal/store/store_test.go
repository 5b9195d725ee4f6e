package store_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/memfs"
	"github.com/eelgrassroad/eelgrassroad/internal/store"
	"gotest.tools/v3/assert"
)

const logName = "/d/log-00000000000000000000"

func incarnation() uint64 { return 7 }

func entries(from, to uint64) []*eelpb.LogEntry {
	var out []*eelpb.LogEntry
	for i := from; i <= to; i++ {
		out = append(out, &eelpb.LogEntry{Index: i, Term: 1, Data: fmt.Appendf(nil, "entry %d", i)})
	}
	return out
}

func mustOpen(t *testing.T, f *memfs.FS) (*store.Store, *store.Recovered) {
	t.Helper()
	s, d, err := store.Open(f, "/d", 1, incarnation)
	assert.NilError(t, err)
	return s, d
}

// newFilledFS returns a file system with n saved entries, one per record.
func newFilledFS(t *testing.T, n uint64) *memfs.FS {
	f := memfs.New()
	s, _ := mustOpen(t, f)
	for i := uint64(1); i <= n; i++ {
		assert.NilError(t, s.Save(&eelpb.HardState{Term: 1, Vote: i}, entries(i, i)))
	}
	assert.NilError(t, s.Close())
	return f
}

func TestOpen(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func(f *memfs.FS, size int)
		kind    store.Kind
		entries int
	}{
		{"undamaged", func(*memfs.FS, int) {}, "", 5},
		{"last record damaged", func(f *memfs.FS, size int) { f.CorruptByte(logName, size-1) }, "", 4},
		{"last header damaged", func(f *memfs.FS, size int) { f.CorruptByte(logName, size-36) }, "", 4},
		{"first record damaged", func(f *memfs.FS, _ int) { f.CorruptByte(logName, 20) }, store.KindCorrupt, 0},
		{"first header damaged", func(f *memfs.FS, _ int) { f.CorruptByte(logName, 5) }, store.KindCorrupt, 0},
		{"middle record damaged", func(f *memfs.FS, size int) { f.CorruptByte(logName, size/2) }, store.KindCorrupt, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFilledFS(t, 5)
			b, err := f.ReadFile(logName)
			assert.NilError(t, err)
			tt.corrupt(f, len(b))
			_, d, err := store.Open(f, "/d", 1, incarnation)
			if tt.kind != "" {
				assert.Assert(t, errs.Is(err, tt.kind), "%v", err)
				assert.ErrorContains(t, err, logName)
				assert.ErrorContains(t, err, "offset")
				assert.ErrorContains(t, err, "replace the replica")
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(d.Entries), tt.entries)
		})
	}
}

func TestOpenRefuses(t *testing.T) {
	f := newFilledFS(t, 1)
	s, _ := mustOpen(t, f)
	_, _, err := store.Open(f, "/d", 1, incarnation)
	assert.Assert(t, errs.Is(err, store.KindLocked), "%v", err)
	assert.NilError(t, s.Close())
	_, _, err = store.Open(f, "/d", 2, incarnation)
	assert.Assert(t, errs.Is(err, store.KindWrongID), "%v", err)
}

func TestLockOnOS(t *testing.T) {
	dir := t.TempDir()
	s, _, err := store.Open(store.OS(), dir, 1, incarnation)
	assert.NilError(t, err)
	_, _, err = store.Open(store.OS(), dir, 1, incarnation)
	assert.Assert(t, errs.Is(err, store.KindLocked), "%v", err)
	assert.NilError(t, s.Save(nil, entries(1, 3)))
	assert.NilError(t, s.Close())
	s, d, err := store.Open(store.OS(), dir, 1, incarnation)
	assert.NilError(t, err)
	assert.Equal(t, len(d.Entries), 3)
	assert.NilError(t, s.Close())
}

// Power is lost at each step of a series of writes. After recovery all acknowledged
// entries are present, in order, and no entry that was never written.
func TestPowerLoss(t *testing.T) {
	const steps = 160
	for failAfter := 1; failAfter <= steps; failAfter++ {
		for seed := range uint64(4) {
			rnd := rand.New(rand.NewPCG(uint64(failAfter), seed))
			f := memfs.New()
			f.FailAfter = failAfter
			acked, base := writeUntilPowerLoss(f)
			f.Crash(rnd)
			s, d, err := store.Open(f, "/d", 1, incarnation)
			assert.NilError(t, err, "failAfter %d seed %d", failAfter, seed)
			checkRecovered(t, d, acked, base, failAfter)
			assert.NilError(t, s.Save(nil, entries(lastIndex(d)+1, lastIndex(d)+1)))
			assert.NilError(t, s.Close())
			_, again := mustOpen(t, f)
			assert.Equal(t, lastIndex(again), lastIndex(d)+1)
		}
	}
}

// writeUntilPowerLoss saves entries and snapshots until power is lost and returns the
// indexes of the last acknowledged entry and snapshot.
func writeUntilPowerLoss(f *memfs.FS) (acked, base uint64) {
	s, _, err := store.Open(f, "/d", 1, incarnation)
	if err != nil {
		return 0, 0
	}
	for i := uint64(1); ; i++ {
		if s.Save(&eelpb.HardState{Term: i}, entries(i, i)) != nil {
			return acked, base
		}
		acked = i
		if i%5 != 0 {
			continue
		}
		n := &eelpb.Snapshot{Index: i - 2, Term: 1, Data: []byte("state")}
		if s.SaveSnapshot(n, &eelpb.HardState{Term: i}, entries(i-1, i)) != nil {
			return acked, base
		}
		base = i - 2
	}
}

func lastIndex(d *store.Recovered) uint64 {
	return d.Snapshot.GetIndex() + uint64(len(d.Entries))
}

func checkRecovered(t *testing.T, d *store.Recovered, acked, base uint64, failAfter int) {
	t.Helper()
	assert.Assert(t, lastIndex(d) >= acked, "failAfter %d: entry %d was acknowledged, the last is %d", failAfter, acked, lastIndex(d))
	assert.Assert(t, lastIndex(d) <= acked+1, "failAfter %d: entry %d was never written", failAfter, lastIndex(d))
	assert.Assert(t, d.Snapshot.GetIndex() >= base, "failAfter %d: snapshot %d is lost", failAfter, base)
	assert.Assert(t, d.Hard.GetTerm() >= acked, "failAfter %d: term %d is lost", failAfter, acked)
	for i, e := range d.Entries {
		assert.Equal(t, e.Index, d.Snapshot.GetIndex()+uint64(i)+1)
		assert.Equal(t, string(e.Data), fmt.Sprintf("entry %d", e.Index))
	}
}

// FuzzOpen opens logs of arbitrary bytes: Open must succeed or fail with KindCorrupt.
func FuzzOpen(f *testing.F) {
	d := memfs.New()
	s, _, err := store.Open(d, "/d", 1, incarnation)
	assert.NilError(f, err)
	assert.NilError(f, s.Save(&eelpb.HardState{Term: 3}, entries(1, 2)))
	b, err := d.ReadFile(logName)
	assert.NilError(f, err)
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := memfs.New()
		w, err := m.Create(logName)
		assert.NilError(t, err)
		_, err = w.Write(b)
		assert.NilError(t, err)
		s, got, err := store.Open(m, "/d", 1, incarnation)
		if err != nil {
			assert.Assert(t, errs.Is(err, store.KindCorrupt), "%v", err)
			return
		}
		assert.NilError(t, s.Save(nil, entries(lastIndex(got)+1, lastIndex(got)+1)))
	})
}
