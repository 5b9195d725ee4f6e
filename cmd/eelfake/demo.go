package main

import (
	"io"
	"os"
	"time"

	"github.com/eelgrassroad/eelgrassroad/examples"
	"github.com/eelgrassroad/eelgrassroad/internal/demo"
	"github.com/eelgrassroad/eelgrassroad/internal/fakes"
	"github.com/eelgrassroad/eelgrassroad/internal/logs"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

type demoCmd struct {
	Length   time.Duration `long:"length" default:"10s" description:"length of the load"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Net      int           `long:"net" default:"9" description:"second byte of the addresses, 127.NET.x.y"`
	LogLevel string        `long:"log-level" default:"error" description:"lowest level that is logged"`
}

// Execute runs the deployment of Kalogeropoulos in this process.
func (c *demoCmd) Execute([]string) error {
	ctx, cancel := setup.SignalContext()
	defer cancel()
	l, err := logs.New(os.Stderr, c.LogLevel, program, "demo")
	if err != nil {
		return err
	}
	objects, err := model.Parse(examples.Kalogeropoulos)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "eeldemo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	d, err := demo.New(ctx, demo.Options{
		Objects: objects, Dir: dir, Net: c.Net, Entries: 6, Slots: 3, ServiceTime: 20 * time.Millisecond,
		Targets: map[model.ServiceID]int{"registry": 12, "archive": 6}, Log: l,
	})
	if err != nil {
		return err
	}
	err = demo.Show(ctx, d, c.show(os.Stdout))
	if e := d.Close(); err == nil {
		err = e
	}
	return err
}

func (c *demoCmd) show(w io.Writer) demo.ShowOptions {
	return demo.ShowOptions{
		Length: c.Length, Seed: c.Seed, Out: w, Policy: "registry-least-loaded", Algorithm: model.Nearest,
		Streams: []fakes.Stream{
			{Service: "registry", Class: "lookup", PerSecond: 300, Deadline: 2 * time.Second},
			{Service: "registry", Class: "issue", PerSecond: 30, Deadline: 10 * time.Second, BodyBytes: 200},
			{Service: "archive", Class: "query", PerSecond: 30, Deadline: 30 * time.Second},
		},
	}
}
