// Command eelplat runs eelgrassroad's daemons on the users' platform, configured by
// the settings file that the platform provides for each process.
//
// # Usage
//
//	eelplat entry            an entry VM: clients, the directory, readiness
//	eelplat state            a VM with a disk: the control API and the replicated state
//	eelplat entry --check    check the settings and exit
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/eelgrassroad/eelgrassroad/internal/logs"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/platform"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const program = "eelplat"

type options struct {
	setup.Common
	Settings string `long:"settings" description:"the platform's settings file; default: the one that its environment variable names"`
	Check    bool   `long:"check" description:"check the settings and end"`
	// ListenShift leaves the addresses of the settings file to the relay that the soak
	// test puts in front of each process.
	ListenShift int  `long:"listen-shift" env:"EEL_LISTEN_SHIFT" description:"listen that many ports above the addresses of the settings file, where a proxy stands before the process"`
	BindSource  bool `long:"bind-source" env:"EEL_BIND_SOURCE" description:"make connections from the IP number of the settings file"`

	Metrics string `long:"metrics" env:"EEL_METRICS" description:"port for metrics, served under /metrics on the VM's address; empty means none"`
	Args    struct {
		Role string `positional-arg-name:"ROLE" description:"entry or state"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	sig := receiveSignals()
	var o options
	setup.Parse(program, &o, os.Args[1:])
	if o.Version {
		setup.PrintVersion(program)
	}
	if o.Settings == "" {
		o.Settings = platform.SettingsPath()
	}
	s, err := platform.Load(o.Settings)
	if err != nil {
		setup.Fatal(program, err)
	}
	if o.Key, err = setup.Secret("key", o.Key, o.KeyFile); err != nil {
		setup.Fatal(program, err)
	}
	if err := checkRole(o.Args.Role, s); err != nil {
		setup.Fatal(program, err)
	}
	if o.Check {
		fmt.Println("settings are good")
		return
	}
	w := logs.NewAsync(os.Stdout)
	l, err := logs.New(w, o.LogLevel, program, s.Name)
	if err != nil {
		setup.Fatal(program, fmt.Errorf("--log-level: %w", err))
	}
	err = run(o, s, l, sig)
	if err != nil {
		level.Error(l).Log("msg", "stopped", "err", err)
	}
	if errors.Join(err, w.Close()) != nil {
		os.Exit(setup.ExitFailed)
	}
}

// checkRole checks that the settings have the values that the role requires.
func checkRole(role string, s *platform.Settings) error {
	switch role {
	case "entry":
		if s.Proxy == "" || s.Ready == "" || s.Directory == "" {
			return fmt.Errorf("role entry: the settings must have addresses for clients, readiness and the directory")
		}
	case "state":
		if s.Control == "" || s.DataDir == "" {
			return fmt.Errorf("role state: the settings must have an address for the control API and a data directory")
		}
	default:
		return fmt.Errorf("role %q is not entry or state", role)
	}
	return nil
}

func run(o options, s *platform.Settings, l log.Logger, sig signals) error {
	level.Info(l).Log("msg", "starting", "role", o.Args.Role, "version", setup.Version, "failureDomain", s.Domain,
		"seeds", fmt.Sprint(s.Seeds), "firstStart", s.FirstStart)
	d, err := newDaemon(o, s, l, sig)
	if err != nil {
		return err
	}
	if o.Args.Role == "state" {
		return runState(d)
	}
	return runEntry(d)
}
