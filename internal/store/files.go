package store

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

const (
	fileMode = 0o600
	dirMode  = 0o700
)

// File is an open file.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Unlocker releases a lock.
type Unlocker interface {
	Unlock() error
}

// FS is the file system interface that the store uses.
type FS interface {
	MkdirAll(dir string) error
	Lock(name string) (Unlocker, error)
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	Create(name string) (File, error)
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
}

// OS returns the operating system's file system.
func OS() FS {
	return osFS{}
}

type osFS struct{}

func (osFS) MkdirAll(dir string) error            { return os.MkdirAll(dir, dirMode) }
func (osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }
func (osFS) Rename(from, to string) error         { return os.Rename(from, to) }
func (osFS) Remove(name string) error             { return os.Remove(name) }

func (osFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (osFS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, fileMode)
}

func (osFS) List(dir string) ([]string, error) {
	d, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(d))
	for _, e := range d {
		names = append(names, e.Name())
	}
	return names, nil
}

func (osFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

type fileLock struct{ f *os.File }

func (l fileLock) Unlock() error {
	return l.f.Close()
}

func (osFS) Lock(name string) (Unlocker, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, err
	}
	return fileLock{f}, nil
}
