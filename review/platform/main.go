// Command harness runs the scripted cases of the review: the programs of the deploy file as
// separate processes on loopback addresses, with stand-ins for clients, servers, operator and
// platform.
//
// # Usage
//
//	harness CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// TROUBLE=0 in the environment leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// verdict is the result of a case: whether the rule was broken, and how.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name; the file of each adds it.
var cases = map[string]func(d *deployment, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(f func(*deployment, bool) (verdict, error), program, name string) int {
	rec, err := newRecord(name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("begins at %s, trouble %v", time.Now().UTC().Format(time.RFC3339), trouble)
	d, err := newDeployment(rec, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	v, err := f(d, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case v.broken:
		rec.add("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return 1
	}
	rec.add("held: %s", v.text)
	fmt.Println("held:", v.text)
	return 0
}
