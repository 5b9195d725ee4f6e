// Package script holds the scenario tests. They check the system's invariants with
// its real programs in separate processes, in a small language based on testscript.
//
// # Usage
//
//	go test ./internal/script                       all scenarios
//	go test ./internal/script -run Script/replace   one of them
//
// # Language
//
//	state N                        start state replicas 1 to N
//	restart [NAME...]              restart stopped or killed processes; without a name, all
//	entry NAME DOMAIN              start an entry
//	target NAME SERVICE DOMAIN [flags...]   start a fake target
//	apply FILE                     apply a catalogue file with the admin token
//	ready [TIMEOUT]                wait until all entries hold a lease and all targets have owners
//	halt NAME...                   planned stop; fails if a process does not exit cleanly
//	crash NAME... | freeze NAME... | thaw NAME...
//	cut NAME NAME... | heal NAME NAME...   silently drop all traffic between the first and the others
//	lose NAME... | return NAME...  partition processes from all others, but not from each other
//	old leader                     assign the name "old" to the present leader
//	cutoff REPLICA | rejoin REPLICA   partition a replica from the other replicas
//	changes N                      make N changes of the catalogue in sequence
//	race N                         send four concurrent changes with equal base versions, N times
//	drain TARGET                   start the drain of a fake target
//	exits NAME CODE REGEXP         wait until a process exits by itself; check its exit code and log
//	twin NAME                      start a second entry with the same id
//	logsize BYTES                  fail if a replica's data directory is larger
//	cost NAME LENGTH CORE% MEGABYTES BYTES/S   fail if an idle entry uses more for control traffic
//	get NAME PATH                  print the response of a process; NAME may be leader or old
//	wipe NAME                      remove the data directory of a stopped process
//	fault TARGET KIND              inject a fault into a fake target; none ends it
//	call [flags...]                send one request; prints its outcome as JSON
//	load NAME [flags...] &         start a load in the background; its journal is NAME.load
//	loadwait NAME                  wait for a load; prints its result
//	ctl ARGS...                    run eelctl with the admin token
//	expect TIMEOUT REGEXP COMMAND...   repeat a command until its output matches
//	never LENGTH REGEXP COMMAND...     fail if a command's output matches within LENGTH
//	leader                         print the name of the replica that is leader
//	sleep LENGTH
//	check once [CLASS]             no request ran twice
//	check whole                    no caller received a wrong or partial answer
//	check least N                  at least N requests were sent
//	check truth                    requests that ended as notRun did not run, answered ones ran
//	check late MILLIS              no target received a request after MILLIS of its drain
//	check slots N                  no target had more than N requests in flight
//	check shift N                  at most N requests ran outside their home region in any second
//	check link LEAST MOST          the maximum bytes per second over all links is in this range
//	check cut                      no request of any load ended as unknown
//
// Each scenario has its own addresses in 127.0.0.0/8. Its processes reach each
// other through a relay.
package script
