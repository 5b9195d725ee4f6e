// Package proc runs the project's programs as separate processes and injects faults
// by signals, for scenarios and the soak test. It is for tests only: no daemon starts
// a process.
//
// # Usage
//
//	p := &proc.Process{Path: "target/eelentry", Args: args, LogFile: "a1.log"}
//	err := p.Start()
//	err = p.Freeze()
//	err = p.Thaw()
//	err = p.Stop(10 * time.Second)
//	p.Kill()
//
// A Process is not safe for concurrent use.
package proc

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// Kind classifies the errors of the package.
type Kind string

// The kinds of errors.
const (
	KindStart      Kind = "notStarted"
	KindNotRunning Kind = "notRunning"
	KindTimeout    Kind = "doesNotStop"
	KindExit       Kind = "endedBadly"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

// Process is a program that can be started repeatedly.
type Process struct {
	Path string
	Args []string
	// Env is appended to the environment of the calling process.
	Env []string
	// LogFile is the file that the program's output is appended to.
	LogFile string

	cmd *exec.Cmd
	log *os.File
	// done is closed when the process has exited; exitErr is the result of its Wait.
	done    chan struct{}
	exitErr error
	frozen  bool
}

// Start starts the program.
func (p *Process) Start() error {
	const op = "proc.Start"
	f, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errs.New(op, KindStart, err)
	}
	p.log = f
	p.cmd = exec.Command(p.Path, p.Args...)
	// In the caller's process group a frozen process would get SIGHUP when the shell exits.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.Env = append(os.Environ(), p.Env...)
	if err := p.cmd.Start(); err != nil {
		return errs.New(op, KindStart, err)
	}
	p.done = make(chan struct{})
	p.frozen = false
	cmd, done := p.cmd, p.done
	go func() {
		p.exitErr = cmd.Wait()
		close(done)
	}()
	return nil
}

// Running reports whether the program was started and is not known to have exited.
func (p *Process) Running() bool { return p.done != nil }

// Frozen reports whether the program was suspended by Freeze.
func (p *Process) Frozen() bool { return p.frozen }

// PID returns the id of the most recently started process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// State returns the exit state of the most recently started process, or nil.
func (p *Process) State() *os.ProcessState { return p.cmd.ProcessState }

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	if !p.Running() {
		return
	}
	// The process may have exited by itself.
	_ = p.cmd.Process.Kill()
	<-p.done
	p.release()
}

// Exited reports whether the process has exited by itself, and if so marks it as not running.
func (p *Process) Exited() bool {
	if !p.Running() {
		return false
	}
	select {
	case <-p.done:
		p.release()
		return true
	default:
		return false
	}
}

// Wait waits until the process has exited.
func (p *Process) Wait(timeout time.Duration) error {
	const op = "proc.Wait"
	if !p.Running() {
		return errs.Newf(op, KindNotRunning, "%s is not running", p.Path)
	}
	select {
	case <-p.done:
		p.release()
		if p.exitErr != nil {
			return errs.New(op, KindExit, p.exitErr)
		}
		return nil
	case <-time.After(timeout):
		return errs.Newf(op, KindTimeout, "%s has not exited within %s", p.Path, timeout)
	}
}

// Stop sends SIGTERM and waits for the process to exit.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(timeout)
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error {
	p.frozen = true
	return p.Signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen process.
func (p *Process) Thaw() error {
	p.frozen = false
	return p.Signal(syscall.SIGCONT)
}

// Signal sends a signal to the running process.
func (p *Process) Signal(s os.Signal) error {
	const op = "proc.Signal"
	if !p.Running() {
		return errs.Newf(op, KindNotRunning, "%s is not running", p.Path)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return errs.New(op, KindNotRunning, err)
	}
	return nil
}

func (p *Process) release() {
	p.done = nil
	// The process has exited, so nothing more is written to the file.
	_ = p.log.Close()
}
