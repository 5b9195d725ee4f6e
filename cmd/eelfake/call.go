package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/fakes"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/caller"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

type callCmd struct {
	Entries  []string      `long:"entry" required:"true" description:"address of an entry"`
	Region   string        `long:"region" description:"caller's region"`
	Service  string        `long:"service" required:"true" description:"service"`
	Class    string        `long:"class" required:"true" description:"class"`
	Path     string        `long:"path" default:"/" description:"path at the target"`
	Body     string        `long:"body" description:"body"`
	ID       string        `long:"id" description:"request id"`
	Attempt  uint64        `long:"attempt" default:"1" description:"attempt, which rises after notRun"`
	Deadline time.Duration `long:"deadline" default:"5s" description:"time for the answer"`
}

// Execute sends one request and prints its outcome as JSON. The exit code is 1 unless the
// outcome is answered.
func (c *callCmd) Execute([]string) error {
	a, err := c.send()
	if err != nil {
		return err
	}
	if a.Outcome != wire.Answered {
		os.Exit(setup.ExitFailed)
	}
	return nil
}

func (c *callCmd) send() (caller.Answer, error) {
	cl := caller.New(caller.Options{Entries: c.Entries, Region: model.RegionID(c.Region)})
	defer cl.Close()
	a, err := cl.Do(context.Background(), caller.Request{
		Service: model.ServiceID(c.Service), Class: model.ClassID(c.Class), Path: c.Path, Body: []byte(c.Body),
		ID: model.RequestID(c.ID), Attempt: c.Attempt, Deadline: c.Deadline,
	})
	if err != nil {
		return a, err
	}
	b, err := json.Marshal(map[string]any{
		"outcome": a.Outcome, "status": a.Status, "body": string(a.Body), "policy": a.Policy, "target": a.Target,
		"entry": a.Entry, "reason": a.Reason, "retryAfterMillis": a.RetryAfter.Milliseconds(), "tookMillis": a.Took.Milliseconds(),
	})
	fmt.Println(string(b))
	return a, err
}

type loadCmd struct {
	Entries  []string      `long:"entry" required:"true" description:"address of an entry"`
	Regions  []string      `long:"region" description:"callers' region; several share the arrivals"`
	Streams  []string      `long:"stream" required:"true" description:"SERVICE/CLASS=PER_SECOND"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Length   time.Duration `long:"length" default:"10s" description:"length of the load"`
	Deadline time.Duration `long:"deadline" default:"5s" description:"time for each answer"`
	Body     int           `long:"body-bytes" default:"0" description:"size of the requests"`
	Resends  int           `long:"resends" default:"0" description:"how often a request is sent again after notRun"`
	Copies   int           `long:"copies" default:"1" description:"copies of each request sent at once by different callers"`
	Journal  string        `long:"journal" description:"file that gets a line for each request with its outcome"`
	Prefix   string        `long:"prefix" default:"load" description:"start of the request ids"`
}

// Execute generates load and prints the results as JSON.
func (c *loadCmd) Execute([]string) error {
	o := fakes.LoadOptions{Seed: c.Seed, Length: c.Length, Prefix: c.Prefix}
	if c.Journal != "" {
		f, err := os.OpenFile(c.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, journalMode)
		if err != nil {
			return err
		}
		defer f.Close()
		o.Journal = f
	}
	for _, s := range c.Streams {
		x, err := c.stream(s)
		if err != nil {
			setup.Fatal(program, err)
		}
		o.Streams = append(o.Streams, x)
	}
	if len(c.Regions) == 0 {
		c.Regions = []string{""}
	}
	for _, r := range c.Regions {
		o.Clients = append(o.Clients, caller.New(caller.Options{Entries: c.Entries, Region: model.RegionID(r)}))
	}
	ctx, cancel := setup.SignalContext()
	defer cancel()
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(fakes.Load(ctx, o))
}

func (c *loadCmd) stream(s string) (fakes.Stream, error) {
	name, rate, _ := strings.Cut(s, "=")
	service, class, ok := strings.Cut(name, "/")
	n, err := strconv.ParseFloat(rate, 64)
	if !ok || err != nil || n <= 0 {
		return fakes.Stream{}, fmt.Errorf("--stream: %q is not SERVICE/CLASS=PER_SECOND", s)
	}
	return fakes.Stream{
		Service: model.ServiceID(service), Class: model.ClassID(class), PerSecond: n,
		Deadline: c.Deadline, BodyBytes: c.Body, Resends: c.Resends, Copies: c.Copies,
	}, nil
}
