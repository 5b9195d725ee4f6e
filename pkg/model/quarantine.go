package model

import (
	"encoding/hex"
	"fmt"
	"maps"
)

// requestDigestBytes is the length of a request's digest.
const requestDigestBytes = 16

// RequestDigest identifies the attempts that are the same request, without revealing it.
type RequestDigest [requestDigestBytes]byte

// String returns the digest in hexadecimal.
func (d RequestDigest) String() string { return hex.EncodeToString(d[:]) }

// ParseRequestDigest parses a digest in hexadecimal.
func ParseRequestDigest(s string) (RequestDigest, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != requestDigestBytes {
		return RequestDigest{}, fmt.Errorf("digest %q is not %d bytes in hexadecimal", s, requestDigestBytes)
	}
	return RequestDigest(b), nil
}

// CatalogueFormat is the format of the catalogue that this build reads: all kinds of objects up to the quarantine.
// Objects of a later kind are left out.
const CatalogueFormat = 1

// QuarantineState says how a request is treated.
type QuarantineState string

// The states of a request that ended targets.
const (
	// QuarantineSuspected means that the request was in flight when targets ended. It waits for the
	// decision, and a VM sends one at a time.
	QuarantineSuspected QuarantineState = "suspected"
	// QuarantineBanned means that the request is not sent to targets.
	QuarantineBanned QuarantineState = "banned"
)

// Quarantine is the state of a request that ended the targets which ran it. Its object is named
// after the request's digest.
type Quarantine struct {
	State   QuarantineState `json:"state"`
	Route   RouteID         `json:"route,omitempty"`
	Service ServiceID       `json:"service,omitempty"`
	// SinceMillis is when the request got into the state, in milliseconds since 1970.
	SinceMillis uint64 `json:"sinceMillis,omitempty"`
	// Ends are the targets that ended under the request, oldest first; later ones may be left out.
	Ends []TargetEnd `json:"ends,omitempty"`
}

// TargetEnd is the end of one incarnation of a target.
type TargetEnd struct {
	Target      TargetID `json:"target"`
	Incarnation uint64   `json:"incarnation"`
	// AgoMillis is how long before SinceMillis the target ended.
	AgoMillis Millis `json:"agoMillis,omitempty"`
	// VMs are those that reported it.
	VMs []VMID `json:"vms,omitempty"`
}

func (q Quarantine) check() error {
	switch q.State {
	case QuarantineSuspected, QuarantineBanned:
		return nil
	}
	return fmt.Errorf("state %q is not known", q.State)
}

func decodeQuarantine(o Object) (RequestDigest, Quarantine, error) {
	d, err := ParseRequestDigest(o.Name)
	if err != nil {
		return d, Quarantine{}, err
	}
	var q Quarantine
	if err := decode(o, &q); err != nil {
		return d, q, err
	}
	return d, q, q.check()
}

// applyQuarantine puts and removes the states of requests.
func (c *Catalogue) applyQuarantine(put []Object, removed []string) {
	cloned := false
	change := func() map[RequestDigest]Quarantine {
		if !cloned {
			c.Quarantine, cloned = maps.Clone(c.Quarantine), true
			if c.Quarantine == nil {
				c.Quarantine = map[RequestDigest]Quarantine{}
			}
		}
		return c.Quarantine
	}
	for _, o := range put {
		if o.Kind != ObjectQuarantine {
			continue
		}
		d, q, err := decodeQuarantine(o)
		if err != nil {
			c.reject(o, err)
			delete(change(), d)
			continue
		}
		change()[d] = q
	}
	for _, k := range removed {
		if name, ok := nameOfKey(ObjectQuarantine, k); ok {
			if d, err := ParseRequestDigest(name); err == nil {
				delete(change(), d)
			}
		}
	}
}
