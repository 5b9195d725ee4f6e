// Package soak runs a complete deployment of the real programs as separate processes
// and injects faults from outside, as a seed determines: signals, restarts, lost disks,
// and a relay that cuts, delays, resets and silences connections. Meanwhile callers,
// targets and operators check the invariants by what they observe.
//
// # Usage
//
//	r, err := soak.Run(ctx, soak.Options{Seed: 7, Length: 30 * time.Second, Program: "target/eelplat", Dir: dir})
//	for _, v := range r.Violations { fmt.Println(v) }
//
// The directory has a log of each process, and soak.log with the schedule of the
// faults and the violations, so that a request can be traced by its id. A seed always
// gives the same schedule; how it interleaves with the processes varies between runs.
//
// Invariants with a time limit, such as how soon a configuration is in force, are checked
// only where neither the entry nor any replica had a fault for some seconds; invariants
// without a time limit are checked always.
//
// Not covered: steps of the wall clock, which cannot be made for a single process
// without privileges (the programs use the monotonic clock), and disks that stall
// (TestStalledDisk and TestRandomFaults of internal/node).
package soak

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// Kind classifies the errors of the package.
type Kind string

// The kinds of errors.
const (
	KindOptions Kind = "badOptions"
	KindStart   Kind = "notStarted"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

// The limits that the deployment runs with, as on the users' platform.
const (
	// settleTime is how long a process must be without faults before time limits apply to it.
	settleTime = 4 * time.Second
	// maxDrainDelay is the time after which an acknowledged leaving target gets no new requests.
	maxDrainDelay = 2500 * time.Millisecond
	// maxConfigDelay is the time within which a configuration is in force.
	maxConfigDelay = 2500 * time.Millisecond
	// maxDomainDrainDelay is the time after which a drained failure domain gets no new requests.
	maxDomainDrainDelay = 5 * time.Second
	// rollbackTolerance is how long an older version may still show after a newer one was observed.
	rollbackTolerance = 250 * time.Millisecond
	// recoveryTimeout is the time within which requests are served again after all processes are up.
	recoveryTimeout = 15 * time.Second
	// terminationGrace is the time from SIGTERM to the end of a process.
	terminationGrace = 6 * time.Second
	// maxCloseRace is the maximum age of a request that may race with a planned close.
	maxCloseRace = 200 * time.Millisecond
	// heartbeatInterval is the time between two announcements of a target.
	heartbeatInterval = time.Second
	// retryRatio, retryBurst and retryWindow limit retries.
	retryRatio  = 0.2
	retryBurst  = 20.0
	retryWindow = 10 * time.Second
	// coldDuration is how long a target that starts during the run is cold, and
	// coldPerSecond, coldMultiplier and coldBurst limit the requests that it gets meanwhile.
	coldDuration   = 3 * time.Second
	coldPerSecond  = 4.6
	coldMultiplier = 1.5
	coldBurst      = 5.0
)
