// Command eelfake runs fake targets and callers, for tests and the demo.
//
// # Usage
//
//	eelfake target --id t1 --service registry --failure-domain attiki-a --listen 127.0.0.1:0 --entry 127.0.0.1:7000
//	eelfake call --entry 127.0.0.1:7000 --service registry --class lookup
//	eelfake load --entry 127.0.0.1:7000 --region attiki --stream registry/lookup=50
//	eelfake demo
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/jessevdk/go-flags"
)

const program = "eelfake"

func main() {
	p := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	var o struct {
		Version func() `long:"version" description:"print the version and exit"`
	}
	o.Version = func() { setup.PrintVersion(program) }
	if _, err := p.AddGroup("Settings", "", &o); err != nil {
		setup.Fatal(program, err)
	}
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"target", "play a target", &targetCmd{}},
		{"call", "send one request", &callCmd{}},
		{"load", "send requests at a rate", &loadCmd{}},
		{"round", "measure a firm's deployment under a load", &roundCmd{}},
		{"demo", "run a whole deployment in this process", &demoCmd{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			setup.Fatal(program, err)
		}
	}
	_, err := p.Parse()
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Println(f.Message)
		return
	}
	if errors.As(err, &f) {
		setup.Fatal(program, err)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(setup.ExitFailed)
	}
}
