package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/fakes"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

const journalMode = 0o600

type targetCmd struct {
	setup.Network
	ID          string        `long:"id" required:"true" description:"id of the target"`
	Service     string        `long:"service" required:"true" description:"service it offers"`
	Domain      string        `long:"failure-domain" required:"true" description:"failure domain it is in"`
	Entries     []string      `long:"entry" required:"true" description:"address of an entry to announce to"`
	Slots       int           `long:"slots" default:"3" description:"requests it works on at once"`
	ServiceTime time.Duration `long:"service-time" default:"10ms" description:"time a request takes"`
	Spread      bool          `long:"spread" description:"make service times exponential"`
	StartTime   time.Duration `long:"start-time" default:"0s" description:"time until it is ready"`
	AnswerBytes int           `long:"answer-bytes" default:"0" description:"size of its answers beyond the least"`
	Journal     string        `long:"journal" description:"file that gets a line for each request that runs"`
	DrainTime   time.Duration `long:"drain-timeout" default:"30s" description:"how long it waits for the system to take its work away"`
}

// Execute runs a target until a stop signal, and then drains and closes it.
func (c *targetCmd) Execute([]string) error {
	if err := c.Check(); err != nil {
		setup.Fatal(program, err)
	}
	o := fakes.TargetOptions{
		ID: model.TargetID(c.ID), Service: model.ServiceID(c.Service), Domain: model.FailureDomainID(c.Domain),
		Listen: c.Listen, Advertise: c.Advertise, Dial: c.Dialer(), Entries: c.Entries, Slots: c.Slots, ServiceTime: c.ServiceTime, Spread: c.Spread,
		StartTime: c.StartTime, AnswerBytes: c.AnswerBytes,
	}
	j, err := c.journal()
	if err != nil {
		return err
	}
	o.Journal = j
	t, err := fakes.NewTarget(o)
	if err != nil {
		return err
	}
	ctx, cancel := setup.SignalContext()
	defer cancel()
	<-ctx.Done()
	return c.leave(t)
}

func (c *targetCmd) journal() (io.Writer, error) {
	if c.Journal == "" {
		return nil, nil
	}
	return os.OpenFile(c.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, journalMode)
}

func (c *targetCmd) leave(t *fakes.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.DrainTime)
	defer cancel()
	fmt.Printf("{\"drainedMillis\":%d}\n", t.Drain(ctx).Milliseconds())
	return t.Close()
}
