// Package proc runs the project's programs as separate processes and harms them
// from outside, as scenarios and the fault soak do. It serves tests: no daemon
// starts a process.
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

// Kind tells the errors of the package apart.
type Kind string

// The kinds of errors.
const (
	KindStart      Kind = "notStarted"
	KindNotRunning Kind = "notRunning"
	KindSlow       Kind = "doesNotStop"
	KindExit       Kind = "endedBadly"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

// Process is one program that is started again and again.
type Process struct {
	Path string
	Args []string
	// Env comes on top of this process's own environment.
	Env []string
	// LogFile gets what the program writes, appended.
	LogFile string

	cmd *exec.Cmd
	log *os.File
	// done is closed when the process has ended, and exit is how.
	done   chan struct{}
	exit   error
	frozen bool
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
	// A frozen process would be hung up with the starter's own group when a shell ends.
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
		p.exit = cmd.Wait()
		close(done)
	}()
	return nil
}

// Running tells whether the program was started and is not known to have ended.
func (p *Process) Running() bool { return p.done != nil }

// Frozen tells whether the program was stopped by Freeze.
func (p *Process) Frozen() bool { return p.frozen }

// PID returns the id of the process that was started last.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// State returns how the process ended that was started last, or nil.
func (p *Process) State() *os.ProcessState { return p.cmd.ProcessState }

// Kill ends the process at once.
func (p *Process) Kill() {
	if !p.Running() {
		return
	}
	// It may have ended by itself.
	_ = p.cmd.Process.Kill()
	<-p.done
	p.ended()
}

// Ended takes note of an end that came by itself, and tells whether there was one.
func (p *Process) Ended() bool {
	if !p.Running() {
		return false
	}
	select {
	case <-p.done:
		p.ended()
		return true
	default:
		return false
	}
}

// Wait waits until the process has ended.
func (p *Process) Wait(limit time.Duration) error {
	const op = "proc.Wait"
	if !p.Running() {
		return errs.Newf(op, KindNotRunning, "%s does not run", p.Path)
	}
	select {
	case <-p.done:
		p.ended()
		if p.exit != nil {
			return errs.New(op, KindExit, p.exit)
		}
		return nil
	case <-time.After(limit):
		return errs.Newf(op, KindSlow, "%s has not ended in %s", p.Path, limit)
	}
}

// Stop asks for a planned stop and waits for it.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(limit)
}

// Freeze stops the process where it is.
func (p *Process) Freeze() error {
	p.frozen = true
	return p.Signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error {
	p.frozen = false
	return p.Signal(syscall.SIGCONT)
}

// Signal sends a signal to the running process.
func (p *Process) Signal(s os.Signal) error {
	const op = "proc.Signal"
	if !p.Running() {
		return errs.Newf(op, KindNotRunning, "%s does not run", p.Path)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return errs.New(op, KindNotRunning, err)
	}
	return nil
}

func (p *Process) ended() {
	p.done = nil
	// Nothing is written to it any more.
	_ = p.log.Close()
}
