package store_test

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/internal/memfs"
	"github.com/eelgrassroad/eelgrassroad/internal/store"
	"gotest.tools/v3/assert"
)

// fullFS is a disk that becomes full: the write that reaches the limit stores half of its bytes and
// fails, and so do those after it.
type fullFS struct {
	*memfs.FS
	writesLeft int
}

// Create creates a file.
func (f *fullFS) Create(name string) (store.File, error) {
	w, err := f.FS.Create(name)
	return &fullFile{w, f}, err
}

// Append opens a file.
func (f *fullFS) Append(name string) (store.File, error) {
	w, err := f.FS.Append(name)
	return &fullFile{w, f}, err
}

type fullFile struct {
	store.File
	f *fullFS
}

// Write fails once the disk is full.
func (w *fullFile) Write(b []byte) (int, error) {
	if w.f.writesLeft > 0 {
		w.f.writesLeft--
		return w.File.Write(b)
	}
	n, err := w.File.Write(b[:len(b)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

// A disk becomes full at any write, also the first ones of an empty directory. What was saved before
// stays, the failed write can be tried again once there is room, and the directory can be opened,
// whether the process went on or was started again.
func TestFullDiskAtAnyWrite(t *testing.T) {
	const writes, room = 14, 1 << 20
	for n := range writes {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("write %d, restart %v", n, restart), func(t *testing.T) {
				f := &fullFS{FS: memfs.New(), writesLeft: n}
				s, _, err := store.Open(f, "/d", 1, incarnation)
				if err != nil {
					f.writesLeft = room
					s, _, err = store.Open(f, "/d", 1, incarnation)
				}
				assert.NilError(t, err)
				save := func(i uint64) error {
					if i%4 == 0 {
						return s.SaveSnapshot(&eelpb.Snapshot{Index: i, Term: 1}, &eelpb.HardState{Term: 1, Vote: i}, nil)
					}
					return s.Save(&eelpb.HardState{Term: 1, Vote: i}, entries(i, i))
				}
				for i := uint64(1); i <= 10; i++ {
					err := save(i)
					if err == nil {
						continue
					}
					assert.Assert(t, errs.Is(err, store.KindFull), "%v", err)
					assert.Assert(t, errs.Is(save(i), store.KindFull), "still full")
					f.writesLeft = room
					if restart {
						assert.NilError(t, s.Close())
						var d *store.Recovered
						s, d, err = store.Open(f, "/d", 1, incarnation)
						assert.NilError(t, err)
						assert.Equal(t, d.Hard.GetVote(), i-1)
					}
					assert.NilError(t, save(i))
				}
				assert.NilError(t, s.Close())
				_, d, err := store.Open(f, "/d", 1, incarnation)
				assert.NilError(t, err)
				assert.Equal(t, d.Identity.Incarnation, uint64(7))
				assert.Equal(t, d.Hard.Vote, uint64(10))
				assert.Equal(t, lastIndex(d), uint64(10))
				assert.Equal(t, d.TruncatedBytes, 0)
			})
		}
	}
}
