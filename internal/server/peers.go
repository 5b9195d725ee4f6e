package server

import (
	"context"
	"net/http"
	"sync"

	"github.com/eelgrassroad/eelgrassroad/internal/auth"
	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"github.com/eelgrassroad/eelgrassroad/internal/gzhttp"
	"github.com/eelgrassroad/eelgrassroad/internal/setup"
)

const maxIdlePerHost = 16

// Peers is the Twirp client for the other replicas.
type Peers struct {
	c       *http.Client
	clients sync.Map
	states  sync.Map
}

// NewPeers returns a client that signs its requests with the key. A nil dialer selects the
// default one.
func NewPeers(k *auth.Key, d setup.Dialer) *Peers {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, DialContext: d, DisableCompression: true}
	return &Peers{c: &http.Client{Transport: gzhttp.Transport(k.Transport(t))}}
}

func (p *Peers) client(addr string) eelpb.Replica {
	if c, ok := p.clients.Load(addr); ok {
		return c.(eelpb.Replica)
	}
	c := eelpb.NewReplicaProtobufClient("http://"+addr, p.c)
	p.clients.Store(addr, c)
	return c
}

// Send sends consensus messages to the replica at the address.
func (p *Peers) Send(ctx context.Context, addr string, m []*eelpb.Message) error {
	_, err := p.client(addr).Step(ctx, &eelpb.StepRequest{Messages: m})
	return err
}

// Join asks the replica at the address to admit the member to its group.
func (p *Peers) Join(ctx context.Context, addr string, m *eelpb.Member) (*eelpb.JoinReply, error) {
	return p.client(addr).Join(ctx, &eelpb.JoinRequest{Member: m})
}

// State returns a client of the state service of the replica at the address.
func (p *Peers) State(addr string) eelpb.State {
	if c, ok := p.states.Load(addr); ok {
		return c.(eelpb.State)
	}
	c := eelpb.NewStateProtobufClient("http://"+addr, p.c)
	p.states.Store(addr, c)
	return c
}

// Identify requests the identity of the replica at the address.
func (p *Peers) Identify(ctx context.Context, addr string) (*eelpb.IdentifyReply, error) {
	return p.client(addr).Identify(ctx, &eelpb.IdentifyRequest{})
}
