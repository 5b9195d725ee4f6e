package main

import (
	"net"
	"time"
)

// forward accepts connections at from and passes them on to to; bytes arrive after the delay, as
// on a link of that delay.
func forward(from, to string, delay time.Duration) (net.Listener, error) {
	l, err := net.Listen("tcp", from)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				time.Sleep(delay)
				s, err := net.Dial("tcp", to)
				if err != nil {
					c.Close()
					return
				}
				go pass(c, s, delay)
				pass(s, c, delay)
			}()
		}
	}()
	return l, nil
}

type chunk struct {
	b  []byte
	at time.Time
}

// pass copies bytes one way; the end of the stream is delayed as the bytes are.
func pass(from, to net.Conn, delay time.Duration) {
	q := make(chan chunk, 1024)
	go func() {
		defer close(q)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				q <- chunk{b[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for x := range q {
		time.Sleep(time.Until(x.at))
		if _, err := to.Write(x.b); err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	for range q {
	}
}
