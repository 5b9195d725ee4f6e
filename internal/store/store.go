// Package store keeps a replica's term, vote, log and snapshots in files that
// survive power loss.
//
// The data directory contains:
//
//	lock               locked while a process uses the directory
//	identity           the replica's id and the incarnation of this disk
//	snapshot-INDEX     the state as of an index
//	log-INDEX          records after that snapshot
//
// A record is a header (magic, length, CRC-32C of the payload, CRC-32C of the
// header) and a payload. Each Save writes one record and syncs once, so power loss
// can tear only the last record, which Open truncates. An invalid record followed
// by a valid one is corruption, and Open fails.
//
// # Usage
//
//	s, d, err := store.Open(store.OS(), dir, id, newIncarnation)
//	err = s.Save(hard, entries)
//	err = s.SaveSnapshot(snapshot, hard, entriesAfter)
//	err = s.Close()
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"google.golang.org/protobuf/proto"
)

// Kind classifies the errors of the package.
type Kind string

// The kinds of errors.
const (
	KindLocked  Kind = "locked"
	KindCorrupt Kind = "corrupt"
	KindDisk    Kind = "disk"
	KindWrongID Kind = "wrongReplica"
	// KindFull means that the disk has no room. What was stored before is unchanged, and the write
	// may be tried again.
	KindFull Kind = "full"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

// Identity identifies a replica's disk.
type Identity struct {
	ID          uint64
	Incarnation uint64
}

// Recovered is the state that Open reads from the directory.
type Recovered struct {
	Identity Identity
	Hard     *eelpb.HardState
	Snapshot *eelpb.Snapshot
	Entries  []*eelpb.LogEntry
	// TruncatedBytes is the length of the torn tail that was removed from the log.
	TruncatedBytes int
}

// Store writes the files of one data directory. It is not safe for concurrent use.
type Store struct {
	fs       FS
	dir      string
	lock     Unlocker
	log      File
	size     int64
	writeErr error
}

// Open locks the directory and recovers its state. A new directory gets the id and the
// incarnation that newIncarnation returns.
func Open(f FS, dir string, id uint64, newIncarnation func() uint64) (*Store, *Recovered, error) {
	const op = "store.Open"
	if err := f.MkdirAll(dir); err != nil {
		return nil, nil, errs.New(op, KindDisk, err)
	}
	l, err := f.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, nil, errs.Newf(op, KindLocked, "folder %q is in use by another process: %v", dir, err)
	}
	s := &Store{fs: f, dir: dir, lock: l}
	d, err := s.load(id, newIncarnation)
	if err != nil {
		return nil, nil, errors.Join(err, l.Unlock())
	}
	return s, d, nil
}

func (s *Store) load(id uint64, newIncarnation func() uint64) (*Recovered, error) {
	d := &Recovered{}
	if err := s.loadIdentity(d, id, newIncarnation); err != nil {
		return nil, err
	}
	base, err := s.loadSnapshot(d)
	if err != nil {
		return nil, err
	}
	name := s.path(logPrefix, base)
	if err := s.loadLog(name, d); err != nil {
		return nil, err
	}
	if err := s.removeObsolete(base); err != nil {
		return nil, err
	}
	return d, nil
}

func (s *Store) loadIdentity(d *Recovered, id uint64, newIncarnation func() uint64) error {
	const op = "store.Open"
	name := filepath.Join(s.dir, identityName)
	b, err := s.fs.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		d.Identity = Identity{ID: id, Incarnation: newIncarnation()}
		return s.writeFile(name, fmt.Appendf(nil, "%d %d\n", d.Identity.ID, d.Identity.Incarnation))
	}
	if err != nil {
		return errs.New(op, KindDisk, err)
	}
	if _, err := fmt.Sscanf(string(b), "%d %d\n", &d.Identity.ID, &d.Identity.Incarnation); err != nil {
		return errs.Newf(op, KindCorrupt, "file %q at offset 0 is not a valid identity: %v; replace the replica", name, err)
	}
	if d.Identity.ID != id {
		return errs.Newf(op, KindWrongID, "folder %q belongs to replica %d, not %d", s.dir, d.Identity.ID, id)
	}
	return nil
}

// loadSnapshot reads the newest snapshot and returns its index, or 0 if there is none.
func (s *Store) loadSnapshot(d *Recovered) (uint64, error) {
	const op = "store.Open"
	names, err := s.fs.List(s.dir)
	if err != nil {
		return 0, errs.New(op, KindDisk, err)
	}
	newest, found := uint64(0), false
	for _, n := range names {
		if i, ok := parseIndex(n, snapshotPrefix); ok && (!found || i > newest) {
			newest, found = i, true
		}
	}
	if !found {
		return 0, nil
	}
	name := s.path(snapshotPrefix, newest)
	b, err := s.fs.ReadFile(name)
	if err != nil {
		return 0, errs.New(op, KindDisk, err)
	}
	p, n, err := decodeRecord(b)
	if err != nil || n != len(b) {
		return 0, errs.Newf(op, KindCorrupt, "file %q at offset 0: %v; wipe the folder and replace the replica", name, err)
	}
	d.Snapshot = &eelpb.Snapshot{}
	if err := proto.Unmarshal(p, d.Snapshot); err != nil {
		return 0, errs.Newf(op, KindCorrupt, "file %q cannot be decoded: %v; wipe the folder and replace the replica", name, err)
	}
	return newest, nil
}

func (s *Store) loadLog(name string, d *Recovered) error {
	const op = "store.Open"
	b, err := s.fs.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		if d.Snapshot != nil {
			return errs.Newf(op, KindCorrupt, "file %q is missing although its snapshot exists; wipe the folder and replace the replica", name)
		}
		return s.startLog(name)
	}
	if err != nil {
		return errs.New(op, KindDisk, err)
	}
	valid, err := replay(b, d)
	if err != nil {
		return errs.Newf(op, KindCorrupt, "file %q at offset %d: %v; wipe the folder and replace the replica", name, valid, err)
	}
	d.TruncatedBytes = len(b) - valid
	return s.openLog(name, int64(valid), d.TruncatedBytes > 0)
}

func (s *Store) startLog(name string) error {
	if err := s.writeFile(name, nil); err != nil {
		return err
	}
	return s.openLog(name, 0, false)
}

func (s *Store) openLog(name string, size int64, truncate bool) error {
	f, err := s.fs.Append(name)
	if err != nil {
		return errs.New("store.Open", KindDisk, err)
	}
	s.log, s.size = f, size
	if !truncate {
		return nil
	}
	if err := errors.Join(f.Truncate(size), f.Sync()); err != nil {
		return errs.New("store.Open", KindDisk, err)
	}
	return nil
}

// Save makes a hard state and entries durable. After a write or sync error the file's
// contents are unknown, and all further writes fail with that error, except for KindFull.
func (s *Store) Save(h *eelpb.HardState, entries []*eelpb.LogEntry) error {
	const op = "store.Save"
	if s.writeErr != nil {
		return s.writeErr
	}
	b, err := encodeSave(h, entries)
	if err != nil {
		return errs.New(op, KindDisk, err)
	}
	if _, err := s.log.Write(b); err != nil {
		return s.undoWrite(op, err)
	}
	if err := s.log.Sync(); err != nil {
		s.writeErr = errs.New(op, KindDisk, err)
		return s.writeErr
	}
	s.size += int64(len(b))
	return nil
}

// undoWrite handles the error of a write to the log. If the disk is full, the part of the record that was
// written is removed.
func (s *Store) undoWrite(op string, err error) error {
	if isFull(err) {
		if e := errors.Join(s.log.Truncate(s.size), s.log.Sync()); e == nil {
			return errs.New(op, KindFull, err)
		}
	}
	s.writeErr = errs.New(op, KindDisk, err)
	return s.writeErr
}

// isFull reports whether a write failed because there was no room on the disk.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// LogSize returns the size of the current log file in bytes.
func (s *Store) LogSize() int64 { return s.size }

// SaveSnapshot makes a snapshot durable and starts a new log file with the hard state and
// the entries after the snapshot.
func (s *Store) SaveSnapshot(n *eelpb.Snapshot, h *eelpb.HardState, entries []*eelpb.LogEntry) error {
	const op = "store.SaveSnapshot"
	if s.writeErr != nil {
		return s.writeErr
	}
	p, err := proto.Marshal(n)
	if err != nil {
		return errs.New(op, KindDisk, err)
	}
	b, err := encodeSave(h, entries)
	if err != nil {
		return errs.New(op, KindDisk, err)
	}
	// The log is written first: Open fails if a snapshot has no log.
	logName := s.path(logPrefix, n.Index)
	if err := s.writeFile(logName, b); err != nil {
		return err
	}
	if err := s.writeFile(s.path(snapshotPrefix, n.Index), encodeRecord(p)); err != nil {
		return err
	}
	old := s.log
	if err := s.openLog(logName, int64(len(b)), false); err != nil {
		return err
	}
	if err := old.Close(); err != nil {
		return errs.New(op, KindDisk, err)
	}
	return s.removeObsolete(n.Index)
}

// removeObsolete removes temporary files and the snapshots and logs of other indexes.
func (s *Store) removeObsolete(index uint64) error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return errs.New("store.removeObsolete", KindDisk, err)
	}
	for _, n := range names {
		if !isObsolete(n, index) {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.dir, n)); err != nil {
			return errs.New("store.removeObsolete", KindDisk, err)
		}
	}
	return nil
}

func isObsolete(name string, index uint64) bool {
	if strings.HasSuffix(name, tmpSuffix) {
		return true
	}
	for _, p := range []string{snapshotPrefix, logPrefix} {
		if i, ok := parseIndex(name, p); ok && i != index {
			return true
		}
	}
	return false
}

// Close closes the log file and unlocks the directory.
func (s *Store) Close() error {
	return errors.Join(s.log.Close(), s.lock.Unlock())
}

func (s *Store) path(prefix string, index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%020d", prefix, index))
}

func parseIndex(name, prefix string) (uint64, bool) {
	t, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	i, err := strconv.ParseUint(t, 10, 64)
	return i, err == nil
}

// writeFile replaces a file atomically: power loss leaves the old file or the whole new one.
func (s *Store) writeFile(name string, b []byte) error {
	err := writeAtomic(s.fs, name, b)
	switch {
	case err == nil:
		return nil
	case isFull(err):
		return errs.New("store.writeFile", KindFull, err)
	}
	return errs.New("store.writeFile", KindDisk, err)
}

func writeAtomic(f FS, name string, b []byte) error {
	tmp := name + tmpSuffix
	w, err := f.Create(tmp)
	if err != nil {
		return err
	}
	if _, err := w.Write(b); err != nil {
		return errors.Join(err, w.Close())
	}
	if err := errors.Join(w.Sync(), w.Close()); err != nil {
		return err
	}
	if err := f.Rename(tmp, name); err != nil {
		return err
	}
	return f.SyncDir(filepath.Dir(name))
}
