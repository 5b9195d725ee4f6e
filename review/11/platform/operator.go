package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// newClient returns an HTTP client that gives up after a second, as callers of control do.
func newClient(conns int) *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: conns, MaxConnsPerHost: 0, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// service is one cluster of a manifest; route one rule.
type service struct {
	Name string
}

type route struct {
	Prefix, Service, Kind string
	LatencyMS, TimeoutMS  int
	Attempts              int
	Affinity              bool
}

// manifest encodes a manifest as the pages show it.
func manifest(version int, routes []route, services []service) []byte {
	type m = map[string]any
	var rules, clusters []m
	for i, r := range routes {
		rules = append(rules, m{
			"name": fmt.Sprintf("r-%d", i), "kind": r.Kind, "target_latency": fmt.Sprintf("%dms", r.LatencyMS), "priority": 1, "session_affinity": r.Affinity,
			"match":  m{"path_prefix": r.Prefix},
			"action": m{"service": r.Service, "timeout": fmt.Sprintf("%dms", r.TimeoutMS), "max_attempts": r.Attempts, "allowed_regions": []string{}},
		})
	}
	for _, s := range services {
		clusters = append(clusters, m{"name": s.Name, "health_check_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 2.6})
	}
	b, _ := json.Marshal(m{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    m{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": []m{{"host": "review.example", "rules": rules}}, "clusters": clusters,
	})
	return b
}

// order sends an order to one daemon after another until it is acknowledged.
func (d *deployment) order(c *http.Client, path string, body []byte, limit time.Duration) error {
	last := error(fmt.Errorf("not sent"))
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		list := d.controls()
		addr := list[i%len(list)]
		resp, err := c.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
		if err != nil {
			last = err
		} else {
			b, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Errorf("status %d: %s", resp.StatusCode, b)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// read asks one daemon for the manifest and returns its version.
func read(ctx context.Context, c *http.Client, addr string) (version, status int, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/api/Config.Get", nil)
	if err != nil {
		return 0, 0, err
	}
	resp, err := c.Do(q)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, resp.StatusCode, err
	}
	var x struct {
		Version string `json:"version"`
	}
	if err := json.Unmarshal(b, &x); err != nil {
		return 0, resp.StatusCode, err
	}
	_, err = fmt.Sscanf(x.Version, "r%d", &version)
	return version, resp.StatusCode, err
}
