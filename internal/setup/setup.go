// Package setup has the settings that the programs share, their checks, and helpers for
// the start and stop of a program.
//
// # Usage
//
//	var o struct {
//		setup.Common
//		Dir string `long:"data" env:"EEL_DATA" description:"data folder"`
//	}
//	setup.Parse("eelstate", &o, os.Args[1:])
//
// After an invalid setting the program exits with code 2 and one line that names the
// setting.
package setup

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// Version is the common version of the programs.
const Version = "0.1.0"

// The exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitUnknown  = 4
)

// Common has the settings that every daemon has.
type Common struct {
	LogLevel string `long:"log-level" env:"EEL_LOG_LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn, error"`
	KeyFile  string `long:"key-file" env:"EEL_KEY_FILE" description:"file with the key that the deployment's processes share"`
	Key      string `long:"key" env:"EEL_KEY" description:"the key itself; prefer the file or the environment" default-mask:"-"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Parse parses flags and environment variables into the options and returns the other
// arguments. It exits the program after a request for help or an invalid option.
func Parse(program string, o any, args []string) []string {
	p := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Settings", "", o); err != nil {
		Fatal(program, err)
	}
	remaining, err := p.ParseArgs(args)
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Println(f.Message)
		os.Exit(ExitOK)
	}
	if err != nil {
		Fatal(program, err)
	}
	return remaining
}

// Fatal prints the error on one line and exits with the code for invalid settings.
func Fatal(program string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	os.Exit(ExitUsage)
}

// PrintVersion prints the version and exits the program.
func PrintVersion(program string) {
	fmt.Println(program, Version)
	os.Exit(ExitOK)
}

// Secret returns a secret that is given as a value or as the path of a file.
func Secret(name, value, file string) (string, error) {
	if value != "" {
		return value, nil
	}
	if file == "" {
		return "", fmt.Errorf("--%s or --%s-file is required", name, name)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("--%s-file: %w", name, err)
	}
	s := strings.TrimSpace(string(b))
	if s == "" {
		return "", fmt.Errorf("--%s-file: file %q is empty", name, file)
	}
	return s, nil
}

// CheckAddr checks that an address is an IP address with a port.
func CheckAddr(name, addr string) error {
	h, p, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("--%s: address %q is not IP:PORT", name, addr)
	}
	if net.ParseIP(h) == nil {
		return fmt.Errorf("--%s: host %q of address %q is not an IP number", name, h, addr)
	}
	if _, err := net.LookupPort("tcp", p); err != nil {
		return fmt.Errorf("--%s: port %q of address %q is not a port", name, p, addr)
	}
	return nil
}

var idRE = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// CheckID checks that an id has 1 to 63 letters, digits, '.', '_' and '-' and starts with a
// letter or digit.
func CheckID(name, id string) error {
	if !idRE.MatchString(id) {
		return fmt.Errorf("--%s: id %q is not 1 to 63 letters, digits, '.', '_' and '-'", name, id)
	}
	return nil
}

// CheckDir creates a data directory if it does not exist, and checks that it is writable.
func CheckDir(name, dir string) error {
	if dir == "" {
		return fmt.Errorf("--%s is required", name)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("--%s: folder %q cannot be made: %w", name, dir, err)
	}
	f := filepath.Join(dir, ".writable")
	if err := os.WriteFile(f, nil, 0o600); err != nil {
		return fmt.Errorf("--%s: folder %q cannot be written: %w", name, dir, err)
	}
	return os.Remove(f)
}

// FirstError returns the first error that is not nil.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// SignalContext returns a context that ends on SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// ReadHeaderTimeout is how long the head of a request may take.
const ReadHeaderTimeout = 10 * time.Second

// IdleTimeout is how long a connection may stay idle.
const IdleTimeout = 2 * time.Minute

// MaxFiles returns the number of descriptors that the process may have.
func MaxFiles() (int, error) {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0, err
	}
	return int(min(l.Cur, math.MaxInt32)), nil
}

// Network has the settings of a daemon's addresses.
type Network struct {
	Listen     string `long:"listen" env:"EEL_LISTEN" description:"address to listen on, IP:PORT"`
	Advertise  string `long:"advertise" env:"EEL_ADVERTISE" description:"address that others reach this process by; default: the one it listens on"`
	BindSource bool   `long:"bind-source" env:"EEL_BIND_SOURCE" description:"make connections from the IP number that is listened on"`
}

// Check checks the addresses and sets the default of Advertise.
func (n *Network) Check() error {
	if err := CheckAddr("listen", n.Listen); err != nil {
		return err
	}
	if n.Advertise == "" {
		n.Advertise = n.Listen
	}
	return CheckAddr("advertise", n.Advertise)
}

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

const dialTimeout = time.Second

// Dialer returns the function with which the process opens connections.
func (n *Network) Dialer() Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	if n.BindSource {
		h, _, err := net.SplitHostPort(n.Listen)
		if err == nil {
			d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(h)}
		}
	}
	return d.DialContext
}

// HTTPServer returns a server with the project's read header timeout.
func HTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: ReadHeaderTimeout}
}
