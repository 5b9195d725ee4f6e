package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/bench"
	"github.com/eelgrassroad/eelgrassroad/internal/fakes"
	"github.com/eelgrassroad/eelgrassroad/internal/logs"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
	"github.com/eelgrassroad/eelgrassroad/pkg/model"
)

type roundCmd struct {
	Firm        string        `long:"firm" choice:"kalogeropoulos" choice:"amabuye-meza" default:"kalogeropoulos" description:"example deployment to run"`
	Load        float64       `long:"load" default:"0.8" description:"offered load as a fraction of the capacity"`
	Length      time.Duration `long:"length" default:"15s" description:"duration of the load"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	ServiceTime time.Duration `long:"service-time" default:"100ms" description:"mean service time"`
	AnswerBytes int           `long:"answer-bytes" default:"2000" description:"size of the targets' responses"`
	Resends     int           `long:"resends" default:"0" description:"maximum number of retries of a request after notRun"`
	Algorithm   string        `long:"algorithm" description:"algorithm of all policies instead of the example's"`
	Hedge       time.Duration `long:"hedge" description:"delay after which an idempotent request is also sent to a second site; 0 means never"`
	Fault       string        `long:"fault" description:"fault of the first target after a third of the duration: slow, shed, lie, mute, cut, drop, mixUp"`
	DrainRegion string        `long:"drain-region" description:"region to drain after a third of the duration"`
	Hot         int           `long:"hot" default:"1" description:"number of callers in the first region as a multiple of that in each other region"`
	LoseRegion  string        `long:"lose-region" description:"region that is partitioned in the middle third of the duration"`
	SwapTo      string        `long:"swap-to" description:"algorithm of all policies after half of the duration"`
	ColdRuns    int           `long:"cold-runs" default:"0" description:"number of requests for which a target is cold after its start or the recovery of its region"`
	Net         int           `long:"net" default:"8" description:"second byte of the addresses, 127.NET.x.y"`
	LogLevel    string        `long:"log-level" default:"error" description:"lowest level that is logged"`
}

// Execute runs one round and prints what it measured as JSON.
func (c *roundCmd) Execute([]string) error {
	ctx, cancel := setup.SignalContext()
	defer cancel()
	l, err := logs.New(os.Stderr, c.LogLevel, program, "round")
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "eelround")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	firm := bench.Kalogeropoulos
	if c.Firm == bench.AmabuyeMeza.Name {
		firm = bench.AmabuyeMeza
	}
	r, err := bench.Run(ctx, bench.Options{
		Firm: firm, Load: c.Load, Length: c.Length, Seed: c.Seed, Dir: dir, Net: c.Net, ServiceTime: c.ServiceTime,
		AnswerBytes: c.AnswerBytes, Resends: c.Resends, Algorithm: model.Algorithm(c.Algorithm), Fault: fakes.Fault(c.Fault),
		DrainRegion: model.RegionID(c.DrainRegion), LoseRegion: model.RegionID(c.LoseRegion), SwapTo: model.Algorithm(c.SwapTo),
		ColdRuns: c.ColdRuns, Hot: c.Hot, Hedge: c.Hedge, Log: l,
	})
	if err != nil {
		return err
	}
	b, err := json.MarshalIndent(r, "", "  ")
	fmt.Println(string(b))
	return err
}
