package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy in front of a backend server that delays all bytes, and the end of
// a connection, as the network between two regions does.
type link struct {
	listener net.Listener
	target   string
	delay    time.Duration
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

func newLink(target string, delay time.Duration) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, delay: delay, conns: map[net.Conn]bool{}}
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// track remembers a connection, to close it at the end. It returns false if the link
// is closed.
func (l *link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return false
	}
	l.conns[c] = true
	return true
}

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			far, err := net.Dial("tcp", l.target)
			if err != nil {
				near.Close()
				return
			}
			if !l.track(near) || !l.track(far) {
				return
			}
			go l.forward(near, far)
			go l.forward(far, near)
		}()
	}
}

// forward copies from one connection to the other; each chunk arrives after the delay.
func (l *link) forward(from, to net.Conn) {
	type chunk struct {
		at   time.Time
		data []byte
	}
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, 32<<10)
			n, err := from.Read(data)
			if n > 0 {
				chunks <- chunk{time.Now(), data[:n]}
			}
			if err != nil {
				chunks <- chunk{at: time.Now()}
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.at.Add(l.delay)))
		if c.data == nil {
			to.Close()
			continue
		}
		_, _ = to.Write(c.data) // if it fails, the next read ends the connection
	}
}

func (l *link) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		c.Close()
	}
}
