// Package memfs is an in-memory file system for tests that simulates power loss:
// data that was not synced is lost in whole or in part.
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

// errPowerLost is returned by all write operations after power loss.
var errPowerLost = errors.New("power lost")

type inode struct {
	data   []byte
	synced int
}

// dirOp is a directory change that is not synced yet.
type dirOp func(m map[string]*inode)

// FS is an in-memory file system. It is not safe for concurrent use.
type FS struct {
	live    map[string]*inode
	durable map[string]*inode
	pending []dirOp
	locked  map[string]bool
	// FailAfter counts down with each write, sync and directory change; power is lost when
	// it reaches 0. A value below 1 disables it.
	FailAfter int
	powerLost bool
}

// New returns an empty file system with FailAfter disabled.
func New() *FS {
	return &FS{live: map[string]*inode{}, durable: map[string]*inode{}, locked: map[string]bool{}, FailAfter: -1}
}

// countOp counts an operation against FailAfter. It fails if power is lost.
func (f *FS) countOp() error {
	if f.powerLost {
		return errPowerLost
	}
	if f.FailAfter > 0 {
		f.FailAfter--
		if f.FailAfter == 0 {
			f.powerLost = true
			return errPowerLost
		}
	}
	return nil
}

// PowerLost reports whether power is lost.
func (f *FS) PowerLost() bool { return f.powerLost }

// Crash simulates a restart after power loss. Of each file's unsynced tail a random
// prefix survives, possibly with a flipped byte, and of the unsynced directory changes
// a random prefix.
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
	f.powerLost, f.FailAfter = false, -1
}

func (f *FS) applyDirOp(op dirOp) {
	op(f.live)
	f.pending = append(f.pending, op)
}

// MkdirAll does nothing: directories exist only as prefixes of file names.
func (f *FS) MkdirAll(string) error { return nil }

type unlock struct {
	f    *FS
	name string
}

// Unlock releases the lock.
func (u unlock) Unlock() error {
	delete(u.f.locked, u.name)
	return nil
}

// Lock acquires a lock. It fails if the lock is already held.
func (f *FS) Lock(name string) (store.Unlocker, error) {
	if f.locked[name] {
		return nil, errors.New("lock is already held")
	}
	f.locked[name] = true
	return unlock{f, name}, nil
}

// List returns the sorted names of the files in a directory.
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

// ReadFile returns a file's contents.
func (f *FS) ReadFile(name string) ([]byte, error) {
	i, ok := f.live[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), i.data...), nil
}

// Create creates a file, or truncates it if it exists.
func (f *FS) Create(name string) (store.File, error) {
	if err := f.countOp(); err != nil {
		return nil, err
	}
	i := &inode{}
	f.applyDirOp(func(m map[string]*inode) { m[name] = i })
	return &file{f: f, i: i}, nil
}

// Append opens an existing file for appending.
func (f *FS) Append(name string) (store.File, error) {
	i, ok := f.live[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &file{f: f, i: i}, nil
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	if err := f.countOp(); err != nil {
		return err
	}
	i, ok := f.live[from]
	if !ok {
		return fs.ErrNotExist
	}
	f.applyDirOp(func(m map[string]*inode) {
		delete(m, from)
		m[to] = i
	})
	return nil
}

// Remove removes a file.
func (f *FS) Remove(name string) error {
	if err := f.countOp(); err != nil {
		return err
	}
	f.applyDirOp(func(m map[string]*inode) { delete(m, name) })
	return nil
}

// SyncDir makes all directory changes durable.
func (f *FS) SyncDir(string) error {
	if err := f.countOp(); err != nil {
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

// Write appends to the file. If power is lost during a write, its data counts as unsynced.
func (w *file) Write(b []byte) (int, error) {
	err := w.f.countOp()
	if err == nil || w.f.powerLost {
		w.i.data = append(w.i.data, b...)
	}
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// Sync makes the file's contents durable.
func (w *file) Sync() error {
	if err := w.f.countOp(); err != nil {
		return err
	}
	w.i.synced = len(w.i.data)
	return nil
}

// Truncate shortens the file to size bytes.
func (w *file) Truncate(size int64) error {
	if err := w.f.countOp(); err != nil {
		return err
	}
	w.i.data = w.i.data[:size]
	w.i.synced = min(w.i.synced, int(size))
	return nil
}

// Close does nothing.
func (w *file) Close() error { return nil }
