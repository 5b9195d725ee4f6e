// Package store keeps a replica's term, vote, log and snapshots in files that
// survive a loss of power.
//
// A folder holds:
//
//	lock               held while a process uses the folder
//	identity           the replica's id and the incarnation of this disk
//	snapshot-INDEX     the state as of an index
//	log-INDEX          records after that snapshot
//
// A record is a header (magic, length, CRC-32C of the payload, CRC-32C of the
// header) and a payload. One Save is one record and one sync, so a loss of
// power can only tear the last record: that one is cut. A bad record with a
// good one behind it is corruption, and Open refuses the folder.
//
// # Usage
//
//	s, d, err := store.Open(store.OS(), dir, id)
//	err = s.Save(hard, entries)
//	err = s.SaveSnapshot(snapshot, hard, rest)
//	err = s.Close()
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"google.golang.org/protobuf/proto"
)

// Kind tells the errors of the package apart.
type Kind string

// The kinds of errors.
const (
	KindLocked  Kind = "locked"
	KindCorrupt Kind = "corrupt"
	KindDisk    Kind = "disk"
	KindWrongID Kind = "wrongReplica"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

// Identity names a replica's disk.
type Identity struct {
	ID          uint64
	Incarnation uint64
}

// Recovered is what a folder held when it was opened.
type Recovered struct {
	Identity  Identity
	HardState *eelpb.HardState
	Snapshot  *eelpb.Snapshot
	Entries   []*eelpb.LogEntry
	// TruncatedBytes is the length of the torn tail that was cut.
	TruncatedBytes int
}

// Store writes the files of one folder. It is not safe for concurrent use.
type Store struct {
	fs     FS
	dir    string
	lock   Unlocker
	log    File
	size   int64
	broken error
}

// Open locks the folder and reads what it holds. A new folder gets the id and
// the incarnation that newIncarnation returns.
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
	if err := s.removeOthers(base); err != nil {
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
		return errs.Newf(op, KindCorrupt, "file %q at offset 0 is no identity: %v; replace the replica", name, err)
	}
	if d.Identity.ID != id {
		return errs.Newf(op, KindWrongID, "folder %q belongs to replica %d, not %d", s.dir, d.Identity.ID, id)
	}
	return nil
}

// loadSnapshot reads the newest snapshot and returns its index.
func (s *Store) loadSnapshot(d *Recovered) (uint64, error) {
	const op = "store.Open"
	names, err := s.fs.List(s.dir)
	if err != nil {
		return 0, errs.New(op, KindDisk, err)
	}
	newest, found := uint64(0), false
	for _, n := range names {
		if i, ok := indexOf(n, snapshotPrefix); ok && (!found || i > newest) {
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
		return 0, errs.Newf(op, KindCorrupt, "file %q does not decode: %v; wipe the folder and replace the replica", name, err)
	}
	return newest, nil
}

func (s *Store) loadLog(name string, d *Recovered) error {
	const op = "store.Open"
	b, err := s.fs.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		if d.Snapshot != nil {
			return errs.Newf(op, KindCorrupt, "file %q is missing beside its snapshot; wipe the folder and replace the replica", name)
		}
		return s.startLog(name)
	}
	if err != nil {
		return errs.New(op, KindDisk, err)
	}
	good, err := replay(b, d)
	if err != nil {
		return errs.Newf(op, KindCorrupt, "file %q at offset %d: %v; wipe the folder and replace the replica", name, good, err)
	}
	d.TruncatedBytes = len(b) - good
	return s.openLog(name, int64(good), d.TruncatedBytes > 0)
}

func (s *Store) startLog(name string) error {
	if err := s.writeFile(name, nil); err != nil {
		return err
	}
	return s.openLog(name, 0, false)
}

func (s *Store) openLog(name string, size int64, cut bool) error {
	f, err := s.fs.Append(name)
	if err != nil {
		return errs.New("store.Open", KindDisk, err)
	}
	s.log, s.size = f, size
	if !cut {
		return nil
	}
	if err := errors.Join(f.Truncate(size), f.Sync()); err != nil {
		return errs.New("store.Open", KindDisk, err)
	}
	return nil
}

// Save makes a term, vote and entries durable. After an error the store
// refuses to write, since the state of the file is not known.
func (s *Store) Save(h *eelpb.HardState, entries []*eelpb.LogEntry) error {
	const op = "store.Save"
	if s.broken != nil {
		return s.broken
	}
	b, err := encodeSave(h, entries)
	if err != nil {
		return errs.New(op, KindDisk, err)
	}
	if _, err := s.log.Write(b); err != nil {
		s.broken = errs.New(op, KindDisk, err)
		return s.broken
	}
	if err := s.log.Sync(); err != nil {
		s.broken = errs.New(op, KindDisk, err)
		return s.broken
	}
	s.size += int64(len(b))
	return nil
}

// LogSize returns the bytes of the present log file.
func (s *Store) LogSize() int64 { return s.size }

// SaveSnapshot makes a snapshot durable and starts a new log file that holds
// the term, the vote and the entries after the snapshot.
func (s *Store) SaveSnapshot(n *eelpb.Snapshot, h *eelpb.HardState, rest []*eelpb.LogEntry) error {
	const op = "store.SaveSnapshot"
	if s.broken != nil {
		return s.broken
	}
	p, err := proto.Marshal(n)
	if err != nil {
		return errs.New(op, KindDisk, err)
	}
	b, err := encodeSave(h, rest)
	if err != nil {
		return errs.New(op, KindDisk, err)
	}
	// The log goes first: a snapshot without its log would be refused.
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
	return s.removeOthers(n.Index)
}

// removeOthers removes the snapshots and logs that the one with the index replaced.
func (s *Store) removeOthers(index uint64) error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return errs.New("store.removeOthers", KindDisk, err)
	}
	for _, n := range names {
		if !replaced(n, index) {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.dir, n)); err != nil {
			return errs.New("store.removeOthers", KindDisk, err)
		}
	}
	return nil
}

func replaced(name string, index uint64) bool {
	if strings.HasSuffix(name, tmpSuffix) {
		return true
	}
	for _, p := range []string{snapshotPrefix, logPrefix} {
		if i, ok := indexOf(name, p); ok && i != index {
			return true
		}
	}
	return false
}

// Close closes the files and frees the folder.
func (s *Store) Close() error {
	return errors.Join(s.log.Close(), s.lock.Unlock())
}

func (s *Store) path(prefix string, index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%020d", prefix, index))
}

func indexOf(name, prefix string) (uint64, bool) {
	t, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	i, err := strconv.ParseUint(t, 10, 64)
	return i, err == nil
}

// writeFile replaces a file so that it is whole or not there after a loss of power.
func (s *Store) writeFile(name string, b []byte) error {
	if err := writeSynced(s.fs, name, b); err != nil {
		return errs.New("store.writeFile", KindDisk, err)
	}
	return nil
}

func writeSynced(f FS, name string, b []byte) error {
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
