// Package admin is the client library of operators: it reads and changes the catalogue,
// and reads status and reports, through any entry or state replica.
//
// # Usage
//
//	c := admin.New(admin.Options{Addrs: []string{"10.0.0.11:7000"}, Token: token})
//	cat, err := c.Catalogue(ctx)
//	r, err := c.Change(ctx, wire.Change{ChangeID: id, BaseVersion: cat.Version, Put: objects})
//
// A change whose response is lost may be sent again with the same change id; the response is
// then the first result.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/burn"
	"github.com/eelgrassroad/eelgrassroad/internal/errs"
	"github.com/eelgrassroad/eelgrassroad/pkg/wire"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindRefused means that the call was rejected and changed nothing.
	KindRefused Kind = "refused"
	// KindConflict means that another change was accepted first.
	KindConflict Kind = "conflict"
	// KindUnknown means that the outcome is unknown; the change may be sent again.
	KindUnknown Kind = "outcomeUnknown"
)

// Error is the error of this package.
type Error = errs.Error[Kind]

const (
	callTimeout = 15 * time.Second
	// attemptTimeout limits the call of one address; a commit may take 3 s.
	attemptTimeout = 4 * time.Second
	retryInterval  = 100 * time.Millisecond
)

// Options are the settings of a client.
type Options struct {
	// Addrs are addresses of entries or replicas; if one does not answer, the next is used.
	Addrs []string
	Token string
}

// Client is safe for concurrent use.
type Client struct {
	o Options
	c *http.Client
}

// New returns a client.
func New(o Options) *Client {
	return &Client{o: o, c: &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{}}}
}

// Catalogue returns the catalogue.
func (c *Client) Catalogue(ctx context.Context) (wire.Catalogue, error) {
	var a wire.Catalogue
	_, err := c.call(ctx, http.MethodGet, wire.PathCatalogue, nil, &a)
	return a, err
}

// Change commits a change. With an error of kind KindConflict the result identifies
// the change that was accepted instead.
func (c *Client) Change(ctx context.Context, q wire.Change) (wire.ChangeResult, error) {
	var a wire.ChangeResult
	status, err := c.call(ctx, http.MethodPost, wire.PathChanges, q, &a)
	if status == http.StatusConflict && !a.Accepted && a.ChangeID != "" {
		return a, errs.Newf("admin.Change", KindConflict,
			"the catalogue is at version %d by change %q of %q", a.Version, a.WinnerChangeID, a.WinnerAuthor)
	}
	return a, err
}

// Status returns the leader's status.
func (c *Client) Status(ctx context.Context) (wire.Status, error) {
	var a wire.Status
	_, err := c.call(ctx, http.MethodGet, wire.PathStatus, nil, &a)
	return a, err
}

// Replica adds, removes or replaces a state replica.
func (c *Client) Replica(ctx context.Context, q wire.ReplicaChange) error {
	var a json.RawMessage
	_, err := c.call(ctx, http.MethodPost, wire.PathReplicas, q, &a)
	return err
}

// Burn returns the counters of the entry at an address for the burn report.
func (c *Client) Burn(ctx context.Context, addr string) ([]burn.Series, error) {
	var a []burn.Series
	_, _, err := c.send(ctx, http.MethodGet, addr, wire.PathBurn, nil, &a)
	return a, err
}

// VM returns the status of the entry at an address as JSON.
func (c *Client) VM(ctx context.Context, addr string) (json.RawMessage, error) {
	var a json.RawMessage
	_, _, err := c.send(ctx, http.MethodGet, addr, wire.PathVM, nil, &a)
	return a, err
}

// call sends a request to the addresses one after the other, and to the leader that a
// replica names, until one gives a definite response or callTimeout is over.
func (c *Client) call(ctx context.Context, method, path string, q, a any) (int, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return 0, errs.New("admin.call", KindRefused, err)
	}
	if len(c.o.Addrs) == 0 {
		return 0, errs.Newf("admin.call", KindRefused, "options contain no address")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		status, err := c.tryAll(ctx, method, path, body, a)
		if err == nil || errs.Is(err, KindRefused) || status == http.StatusConflict {
			return status, err
		}
		select {
		case <-ctx.Done():
			return status, err
		case <-time.After(retryInterval):
		}
	}
}

// tryAll sends the request to each address once.
func (c *Client) tryAll(ctx context.Context, method, path string, body []byte, a any) (int, error) {
	addrs := append([]string(nil), c.o.Addrs...)
	var status int
	var err error
	for i := 0; i < len(addrs) && i < maxAddrs && ctx.Err() == nil; i++ {
		var leader string
		status, leader, err = c.send(ctx, method, addrs[i], path, body, a)
		if err == nil || errs.Is(err, KindRefused) || status == http.StatusConflict {
			return status, err
		}
		if leader != "" && !slices.Contains(addrs[i:], leader) {
			addrs = append(addrs, leader)
		}
	}
	return status, err
}

const (
	maxAddrs     = 16
	maxBodyBytes = 64 << 20
)

func (c *Client) send(ctx context.Context, method, addr, path string, body []byte, a any) (int, string, error) {
	const op = "admin.call"
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", errs.New(op, KindRefused, err)
	}
	if c.o.Token != "" {
		q.Header.Set("Authorization", "Bearer "+c.o.Token)
	}
	q.Header.Set("Content-Type", "application/json")
	res, err := c.c.Do(q)
	if err != nil {
		return 0, "", errs.New(op, KindUnknown, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return res.StatusCode, "", errs.New(op, KindUnknown, err)
	}
	return res.StatusCode, res.Header.Get(wire.HeaderLeader), c.decode(res.StatusCode, addr, b, a)
}

func (c *Client) decode(status int, addr string, b []byte, a any) error {
	const op = "admin.call"
	if status == http.StatusOK || status == http.StatusConflict {
		if err := json.Unmarshal(b, a); err != nil {
			return errs.New(op, KindUnknown, err)
		}
		if status == http.StatusOK {
			return nil
		}
	}
	var f wire.Failure
	if json.Unmarshal(b, &f) != nil || f.Error == "" {
		f.Error = fmt.Sprintf("%s answered with status %d", addr, status)
	}
	k := KindRefused
	if status == http.StatusMisdirectedRequest || status >= http.StatusInternalServerError {
		k = KindUnknown
	}
	return errs.New(op, k, errors.New(f.Error))
}
