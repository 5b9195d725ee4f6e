// Package soak runs a whole deployment of real programs as separate processes
// and harms it from outside, by a seed: signals, restarts, lost disks, and a
// relay that cuts, delays, resets and silences connections. Meanwhile callers,
// targets and operators check from what they see that the promises hold.
//
// # Usage
//
//	r, err := soak.Run(ctx, soak.Options{Seed: 7, Length: 30 * time.Second, Program: "target/eelplat", Dir: dir})
//	for _, b := range r.Broken { fmt.Println(b) }
//
// The folder has a log of each process, and soak.log with the schedule of the
// harm and what was broken, so that a request is followed by its id. A seed gives
// the same schedule again; how processes meet it differs from run to run.
//
// What is timed, such as how soon a configuration is in force, is checked only
// where neither the entry nor any replica was harmed for some seconds; what must
// always hold is checked always.
//
// Not covered: steps of the time of day, which nobody can do to one process
// without privileges (the programs use the monotonic clock), and disks that stall
// (TestStalledDisk and TestRandomFaults of internal/node).
package soak

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// Kind tells the errors of the package apart.
type Kind string

// The kinds of errors.
const (
	KindOptions Kind = "badOptions"
	KindStart   Kind = "notStarted"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

// The bounds that the deployment is run with, as on the users' platform.
const (
	// contact is how long a process must be left alone before timed promises bind it.
	settleTime = 4 * time.Second
	// drainBound is how soon after its acknowledgement a leaving target gets nothing new.
	maxDrainDelay = 2500 * time.Millisecond
	// configBound is how soon a configuration is in force.
	maxConfigDelay = 2500 * time.Millisecond
	// domainBound is how soon a drained failure domain gets nothing new.
	maxDomainDrainDelay = 5 * time.Second
	// rollbackSlack is how long after its effect was seen an older version may still show.
	rollbackTolerance = 250 * time.Millisecond
	// recovery is how soon after all are back requests are served again.
	recoveryTimeout = 15 * time.Second
	// grace is the time from SIGTERM to the end of a process.
	terminationGrace = 6 * time.Second
	// cutSlack is how soon after it was sent a request may cross a planned close.
	maxCloseRace = 200 * time.Millisecond
	// heartbeat is the time between two announcements of a target.
	heartbeatInterval = time.Second
	// retryRatio, retryBurst and retryWindow bound second sends.
	retryRatio  = 0.2
	retryBurst  = 20.0
	retryWindow = 10 * time.Second
	// coldTime is how long a target is cold that starts during the run, and
	// coldPerSecond, coldMultiplier and coldBurst bound what it gets meanwhile.
	coldDuration   = 3 * time.Second
	coldPerSecond  = 4.6
	coldMultiplier = 1.5
	coldBurst      = 5.0
)
