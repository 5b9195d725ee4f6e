// Command eelsoak runs a deployment of real processes on this machine, injects faults
// that a seed determines, and checks that the invariants hold.
//
// # Usage
//
//	eelsoak --program target/eelplat --seed 1 --count 50      fifty seeds, one after another
//	eelsoak --program target/eelplat --seed 7 --keep          one seed; its logs are kept
//
// It exits with code 1 if an invariant was violated, and prints the seed, the violations
// and the directory with the logs.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/internal/soak"
)

const program = "eelsoak"

type options struct {
	Program  string        `long:"program" default:"target/eelplat" description:"path of eelplat"`
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Count    uint64        `long:"count" default:"1" description:"how many seeds"`
	Length   time.Duration `long:"length" default:"30s" description:"how long each deployment is harmed"`
	Replicas int           `long:"replicas" default:"3" description:"state replicas"`
	Entries  int           `long:"entries" default:"6" description:"entries"`
	Targets  int           `long:"targets" default:"12" description:"targets, in this process"`
	Callers  int           `long:"callers" default:"24" description:"callers, in this process"`
	Rate     float64       `long:"rate" default:"240" description:"requests a second of all callers"`
	Dir      string        `long:"dir" description:"folder for logs and data; default: a temporary one"`
	Keep     bool          `long:"keep" description:"keep logs and data also where nothing was broken"`
}

func main() {
	var o options
	setup.Parse(program, &o, os.Args[1:])
	violated := false
	for seed := o.Seed; seed < o.Seed+o.Count; seed++ {
		ok, err := runSeed(o, seed)
		if err != nil {
			setup.Fatal(program, fmt.Errorf("seed %d: %w", seed, err))
		}
		violated = violated || !ok
	}
	if violated {
		os.Exit(setup.ExitFailed)
	}
}

// runSeed runs one seed and reports whether all invariants held.
func runSeed(o options, seed uint64) (bool, error) {
	dir, err := seedDir(o.Dir, seed)
	if err != nil {
		return false, err
	}
	r, err := soak.Run(context.Background(), soak.Options{
		Seed: seed, Length: o.Length, Replicas: o.Replicas, Entries: o.Entries, Targets: o.Targets, Callers: o.Callers,
		Rate: o.Rate, Program: o.Program, Dir: dir,
	})
	if err != nil {
		return false, fmt.Errorf("%w; logs are in %s", err, dir)
	}
	fmt.Println(r)
	for _, p := range slices.Sorted(maps.Keys(r.Checks)) {
		fmt.Printf("  %7d checks: %s\n", r.Checks[p], p)
	}
	for _, v := range r.Broken {
		fmt.Println("  BROKEN", v)
	}
	if len(r.Broken) == 0 && !o.Keep {
		return true, os.RemoveAll(dir)
	}
	fmt.Println("  logs:", dir)
	return len(r.Broken) == 0, nil
}

func seedDir(base string, seed uint64) (string, error) {
	if base == "" {
		return os.MkdirTemp("", program)
	}
	d := filepath.Join(base, fmt.Sprintf("seed-%d", seed))
	return d, os.MkdirAll(d, 0o700)
}
