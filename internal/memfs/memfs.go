// Package memfs is a file system in memory that can lose power: what was not
// synced is gone, or there in part. It stands in for the disk in tests.
//
// # Usage
//
//	f := memfs.New()
//	s, d, err := store.Open(f, "/data", 1, newIncarnation)
//	f.Crash(rnd)
package memfs

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"

	"github.com/eelgrassroad/eelgrassroad/internal/store"
)

// errPower is what writes return once the power is out.
var errPower = errors.New("power is out")

type inode struct {
	data   []byte
	synced int
}

// dirOp is a change of the folder that is not synced yet.
type dirOp func(m map[string]*inode)

// FS is a file system. It is not safe for concurrent use.
type FS struct {
	live    map[string]*inode
	durable map[string]*inode
	pending []dirOp
	locked  map[string]bool
	// FailAfter counts down with each write, sync and change of the folder; at 0 the power goes out.
	FailAfter int
	out       bool
}

// New returns an empty file system that does not lose power by itself.
func New() *FS {
	return &FS{live: map[string]*inode{}, durable: map[string]*inode{}, locked: map[string]bool{}, FailAfter: -1}
}

// step burns the fuse.
func (f *FS) step() error {
	if f.out {
		return errPower
	}
	if f.FailAfter > 0 {
		f.FailAfter--
		if f.FailAfter == 0 {
			f.out = true
			return errPower
		}
	}
	return nil
}

// PowerLost tells whether the power is out.
func (f *FS) PowerLost() bool { return f.out }

// Crash loses what was not synced: of each file a part of its unsynced tail
// stays, and of the changes of the folder a first part.
func (f *FS) Crash(rnd *rand.Rand) {
	for _, op := range f.pending[:rnd.IntN(len(f.pending)+1)] {
		op(f.durable)
	}
	f.pending = nil
	f.live = map[string]*inode{}
	for _, n := range slices.Sorted(maps.Keys(f.durable)) {
		i := f.durable[n]
		tail := rnd.IntN(len(i.data) - i.synced + 1)
		kept := append([]byte(nil), i.data[:i.synced+tail]...)
		if tail > 0 && rnd.IntN(2) == 0 {
			kept[i.synced+rnd.IntN(tail)] ^= 0xff
		}
		f.live[n] = &inode{data: kept, synced: len(kept)}
	}
	f.durable = map[string]*inode{}
	for n, i := range f.live {
		f.durable[n] = i
	}
	f.locked = map[string]bool{}
	f.out, f.FailAfter = false, -1
}

func (f *FS) change(op dirOp) {
	op(f.live)
	f.pending = append(f.pending, op)
}

// MkdirAll does nothing: folders are parts of names.
func (f *FS) MkdirAll(string) error { return nil }

type unlock struct {
	f    *FS
	name string
}

// Unlock frees the lock.
func (u unlock) Unlock() error {
	delete(u.f.locked, u.name)
	return nil
}

// Lock takes a lock that no other holds.
func (f *FS) Lock(name string) (store.Unlocker, error) {
	if f.locked[name] {
		return nil, errors.New("lock is held")
	}
	f.locked[name] = true
	return unlock{f, name}, nil
}

// List returns the names in a folder.
func (f *FS) List(dir string) ([]string, error) {
	var out []string
	for n := range f.live {
		if filepath.Dir(n) == strings.TrimSuffix(dir, "/") {
			out = append(out, filepath.Base(n))
		}
	}
	slices.Sort(out)
	return out, nil
}

// ReadFile returns what a file holds.
func (f *FS) ReadFile(name string) ([]byte, error) {
	i, ok := f.live[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), i.data...), nil
}

// Create makes a file or empties it.
func (f *FS) Create(name string) (store.File, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	i := &inode{}
	f.change(func(m map[string]*inode) { m[name] = i })
	return &file{f: f, i: i}, nil
}

// Append opens a file to write at its end.
func (f *FS) Append(name string) (store.File, error) {
	i, ok := f.live[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &file{f: f, i: i}, nil
}

// Rename gives a file another name.
func (f *FS) Rename(from, to string) error {
	if err := f.step(); err != nil {
		return err
	}
	i, ok := f.live[from]
	if !ok {
		return fs.ErrNotExist
	}
	f.change(func(m map[string]*inode) {
		delete(m, from)
		m[to] = i
	})
	return nil
}

// Remove removes a file.
func (f *FS) Remove(name string) error {
	if err := f.step(); err != nil {
		return err
	}
	f.change(func(m map[string]*inode) { delete(m, name) })
	return nil
}

// SyncDir makes the changes of the folder durable.
func (f *FS) SyncDir(string) error {
	if err := f.step(); err != nil {
		return err
	}
	for _, op := range f.pending {
		op(f.durable)
	}
	f.pending = nil
	return nil
}

// CorruptByte flips the byte of a file at an offset, as a bad sector does.
func (f *FS) CorruptByte(name string, offset int) {
	f.live[name].data[offset] ^= 0xff
}

type file struct {
	f *FS
	i *inode
}

// Write appends to the file. When the power goes out in it, all of it is unsynced.
func (w *file) Write(b []byte) (int, error) {
	err := w.f.step()
	if err == nil || w.f.out {
		w.i.data = append(w.i.data, b...)
	}
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// Sync makes the file's bytes durable.
func (w *file) Sync() error {
	if err := w.f.step(); err != nil {
		return err
	}
	w.i.synced = len(w.i.data)
	return nil
}

// Truncate cuts the file.
func (w *file) Truncate(size int64) error {
	if err := w.f.step(); err != nil {
		return err
	}
	w.i.data = w.i.data[:size]
	w.i.synced = min(w.i.synced, int(size))
	return nil
}

// Close does nothing.
func (w *file) Close() error { return nil }
