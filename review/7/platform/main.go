package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// scenarios play a case. They return whether the rule was broken.
var scenarios = map[string]func(l *lab, trouble bool) (bool, error){
	"helper":  helperRegresses,
	"restart": restartBehindCut,
	"order":   staleOrder,
	"replace": replacedInSeries,
	"reset":   acceptedAndReset,
	"upgrade": upgradeStopsChanges,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform SCENARIO RECORD, in the root of the repository")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	program, err := filepath.Abs("target/eelplat")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	l, err := newLab(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer l.close()
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		l.close()
		os.Exit(notRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	l.logf("scenario %s, disruption %v", name, trouble)
	bad, err := scenarios[name](l, trouble)
	switch {
	case err != nil:
		l.logf("%v", err)
		fmt.Println(name+":", err)
		if !errors.Is(err, errSetup) {
			fmt.Println("the case could not run")
		}
		return notRun
	case bad:
		fmt.Println(name + ": rule broken")
		return broken
	}
	fmt.Println(name + ": rule held")
	return held
}

// deploy adds the machines and back ends of a small deployment: five core machines, a front machine in
// each zone and a second one in the first, and for each service a back end in each zone.
func (l *lab) deploy() error {
	for i := range 5 {
		if _, err := l.addCore(l.zones[i], true); err != nil {
			return fmt.Errorf("%w: %v", errSetup, err)
		}
	}
	l.addFront(l.zones[0])
	for _, z := range l.zones {
		l.addFront(z)
	}
	return nil
}
