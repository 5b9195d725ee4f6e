// Rig plays a case of the review: it starts the programs of the deploy file as processes on loopback addresses, with stand-ins
// for clients, servers and the platform. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxTime is the longest that a case may run.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) < 3 {
		fmt.Println("usage: rig CASE FOLDER")
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	// The processes end with this one, which started them.
	time.AfterFunc(maxTime, func() {
		fmt.Println("could not run: over", maxTime)
		os.Exit(2)
	})
	broken, err := run(os.Args[1], root, rec, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
}

func run(name, root string, rec *record, trouble bool) (bool, error) {
	states, entries := 3, 0
	switch name {
	case "cold", "replace", "idle", "gone":
		entries = 2
	case "deadly", "deadly-silent", "reset":
		entries = 6
	case "deadly-together":
		entries = 9
	case "limit":
		entries = 9
	}
	d, err := newDeployment(root, states, entries, rec)
	if err != nil {
		return false, err
	}
	defer d.stop()
	switch name {
	case "cold":
		return cold(d, trouble)
	case "deadly":
		return deadly(d, trouble, true, false, 3)
	case "replace":
		return replaced(d, trouble)
	case "idle":
		return idle(d, trouble, 67)
	case "gone":
		return gone(d, trouble)
	case "reset":
		return resets(d, trouble)
	case "limit":
		return limited(d, trouble, 4, 270)
	case "deadly-silent":
		return deadly(d, trouble, true, true, 2)
	case "deadly-together":
		return deadly(d, trouble, false, false, 2)
	}
	return false, fmt.Errorf("no case is called %q", name)
}
