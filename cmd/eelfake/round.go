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
	Firm        string        `long:"firm" choice:"kalogeropoulos" choice:"amabuye-meza" default:"kalogeropoulos" description:"whose deployment"`
	Load        float64       `long:"load" default:"0.8" description:"part of the capacity that is asked for"`
	Length      time.Duration `long:"length" default:"15s" description:"length of the load"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	ServiceTime time.Duration `long:"service-time" default:"100ms" description:"mean service time"`
	AnswerBytes int           `long:"answer-bytes" default:"2000" description:"size of answers"`
	Resends     int           `long:"resends" default:"0" description:"how often a request is sent again after notRun"`
	Algorithm   string        `long:"algorithm" description:"algorithm of all policies instead of the example's"`
	Hedge       time.Duration `long:"hedge" description:"after how long an idempotent request goes to a second site; 0 means never"`
	Fault       string        `long:"fault" description:"what the first target does from a third on: slow, shed, lie, mute, cut, drop, mixUp"`
	DrainRegion string        `long:"drain-region" description:"region to drain from a third on"`
	Hot         int           `long:"hot" default:"1" description:"how many times as many callers the first region has as any other"`
	LoseRegion  string        `long:"lose-region" description:"region that is cut off in the middle third"`
	SwapTo      string        `long:"swap-to" description:"algorithm of all policies from a half on"`
	ColdRuns    int           `long:"cold-runs" default:"0" description:"how many requests a target is cold for after its start or its region's return"`
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
