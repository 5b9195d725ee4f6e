// Package script holds the scenarios that prove the system's promises with its
// real programs in separate processes, in a small language on testscript.
//
// # Usage
//
//	go test ./internal/script                       all scenarios
//	go test ./internal/script -run Script/replace   one of them
//
// # Language
//
//	state N                        start state replicas 1 to N
//	restart [NAME...]              start stopped or killed processes again; without a name, all
//	entry NAME DOMAIN              start an entry
//	target NAME SERVICE DOMAIN [flags...]   start a fake target
//	apply FILE                     put a catalogue file in force with the admin token
//	ready [TIMEOUT]                wait until all entries hold a lease and all targets have owners
//	halt NAME...                   planned stop; fails if the process does not end well
//	crash NAME... | freeze NAME... | thaw NAME...
//	cut NAME NAME... | heal NAME NAME...   lose silently what the first and the others send each other
//	lose NAME... | return NAME...  cut processes off from all others, but not from each other
//	old leader                     call the present leader "old" from now on
//	cutoff REPLICA | rejoin REPLICA   cut a replica off from the others
//	changes N                      make N changes of the catalogue
//	race N                         let four operators race with equal versions, N times
//	drain TARGET                   tell a fake target to leave
//	exits NAME CODE REGEXP         wait until a process ends by itself, and check its log
//	twin NAME                      start a second entry with the same id
//	logsize BYTES                  fail if a replica's folder is larger
//	cost NAME LENGTH CORE% MEGABYTES BYTES/S   fail if an idle entry spends more on control
//	get NAME PATH                  print what a process answers; NAME may be leader or old
//	wipe NAME                      remove a stopped process's data folder
//	fault TARGET KIND              make a fake target misbehave
//	call [flags...]                send one request; prints its outcome as JSON
//	load NAME [flags...] &         start a load; its journal is NAME.load
//	loadwait NAME                  wait for a load; prints its result
//	ctl ARGS...                    run eelctl with the admin token
//	expect TIMEOUT REGEXP COMMAND...   repeat a command until its output matches
//	never LENGTH REGEXP COMMAND...     fail if a command's output matches within a time
//	leader                         print the name of the leading replica
//	sleep LENGTH
//	check once [CLASS]             no request ran twice
//	check whole                    no caller got a wrong or partial answer
//	check least N                  at least N requests were sent
//	check truth                    requests told notRun did not run, answered ones ran
//	check late MILLIS              no target got work later than that after it began to drain
//	check slots N                  no target had more requests at once
//	check shift N                  no second had more than N requests outside their home region
//	check link LEAST MOST          the fullest second of any link was between these bytes
//	check cut                      no request of any load ended as unknown
//
// Processes run on addresses of 127.0.0.0/8 of the scenario's own and reach
// each other through a relay.
package script
