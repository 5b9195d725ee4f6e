package main

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// listen listens without multipath TCP, whose sockets take no packet filter.
func listen(addr string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", addr)
}

// dropFrom makes a socket drop all packets from an IPv4 address, as a partition does; with an empty
// address it drops none. Sockets that a listener accepts later inherit its filter.
func dropFrom(s syscall.Conn, ip string) error {
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		if ip == "" {
			if failed = syscall.DetachLsf(int(fd)); failed == syscall.ENOENT {
				failed = nil // It has no filter.
			}
			return
		}
		b := net.ParseIP(ip).To4()
		const sourceAddress = 0xfff00000 + 12 // SKF_NET_OFF and the offset in the IPv4 header
		failed = syscall.AttachLsf(int(fd), []syscall.SockFilter{
			{Code: syscall.BPF_LD | syscall.BPF_W | syscall.BPF_ABS, K: sourceAddress},
			{Code: syscall.BPF_JMP | syscall.BPF_JEQ | syscall.BPF_K, Jt: 0, Jf: 1, K: uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])},
			{Code: syscall.BPF_RET | syscall.BPF_K, K: 0},
			{Code: syscall.BPF_RET | syscall.BPF_K, K: 0xffffffff},
		})
	})
	if err != nil {
		return err
	}
	return failed
}

func remoteIP(c net.Conn) string {
	h, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return h
}

// proxy forwards connections to a process and can cut off one machine: it drops its packets and holds
// back the bytes for it.
type proxy struct {
	lis  net.Listener
	to   string
	mu   sync.Mutex
	cond *sync.Cond
	cut  string
	in   map[net.Conn]bool
}

func newProxy(addr, to string) (*proxy, error) {
	lis, err := listen(addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{lis: lis, to: to, in: map[net.Conn]bool{}}
	p.cond = sync.NewCond(&p.mu)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	p.mu.Lock()
	p.in[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.in, c)
		p.mu.Unlock()
		c.Close()
	}()
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(remoteIP(c))}}
	b, err := d.Dial("tcp", p.to)
	if err != nil {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // A port without a listener resets the connection.
		}
		return
	}
	defer b.Close()
	done := make(chan struct{}, 2)
	go func() {
		_, _ = io.Copy(b, c)
		_ = b.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}()
	go func() {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := b.Read(buf)
			p.waitWhileCut(remoteIP(c))
			if _, e := c.Write(buf[:n]); e != nil {
				return
			}
			if err != nil {
				_ = c.(*net.TCPConn).CloseWrite()
				return
			}
		}
	}()
	<-done
	<-done
}

func (p *proxy) waitWhileCut(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut == ip {
		p.cond.Wait()
	}
}

// setCut cuts a machine off from the process, or nobody.
func (p *proxy) setCut(ip string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = ip
	p.cond.Broadcast()
	if err := dropFrom(p.lis.(*net.TCPListener), ip); err != nil {
		return err
	}
	for c := range p.in {
		_ = dropFrom(c.(*net.TCPConn), ip) // It may have been closed.
	}
	return nil
}
