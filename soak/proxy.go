package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is the fault that a proxy injects into its connections.
type mode string

const (
	modePass    mode = "pass"
	modeRefuse  mode = "refuse"  // open and new connections are reset
	modeReset   mode = "reset"   // open connections are reset, new ones pass
	modeSilence mode = "silence" // data is held back in both directions
	modeOneWay  mode = "one-way" // replies are held back
	modeDelay   mode = "delay"   // replies are delayed
	modeEndless mode = "endless" // replies are replaced by an endless stream
	modeRepeat  mode = "repeat"  // replies are sent again after a delay
)

// replyDelay is the delay of replies in modeDelay and modeRepeat.
const replyDelay = 150 * time.Millisecond

// proxy forwards TCP connections to a target and injects faults.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     mode
	changed  chan struct{} // closed and replaced when the mode changes
	conns    map[net.Conn]bool
	wg       sync.WaitGroup
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, mode: modePass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	p.listener.Close()
	p.setMode(modePass)
	p.resetAll()
	p.wg.Wait()
}

// setMode changes the mode, for open connections too.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	if m == modeReset || m == modeRefuse {
		p.resetAll()
	}
}

func (p *proxy) currentMode() (mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if m, _ := p.currentMode(); m == modeRefuse {
			resetConn(c)
			continue
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) serve(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(from)
		return
	}
	for _, c := range []net.Conn{from, to} {
		p.track(c, true)
		defer p.track(c, false)
		defer c.Close()
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from, false) })
	both.Go(func() { p.copy(from, to, true) })
	both.Wait()
}

// copy forwards data from one connection to the other. fromTarget marks the
// direction of replies.
func (p *proxy) copy(to, from net.Conn, fromTarget bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.deliver(to, buf[:n], fromTarget) || err != nil {
			return
		}
	}
}

// deliver writes one chunk as the mode requires. If it returns false, the caller
// must close the connection.
func (p *proxy) deliver(to io.Writer, data []byte, fromTarget bool) bool {
	m, changed := p.currentMode()
	for m == modeSilence || m == modeOneWay && fromTarget {
		select {
		case <-changed:
		case <-time.After(time.Minute):
			return false
		}
		m, changed = p.currentMode()
	}
	if fromTarget {
		switch m {
		case modeDelay:
			time.Sleep(replyDelay)
		case modeEndless:
			for {
				if _, err := to.Write([]byte("X-Filler: 0123456789\r\n")); err != nil {
					return false
				}
			}
		case modeRepeat:
			if _, err := to.Write(data); err != nil {
				return false
			}
			time.Sleep(replyDelay)
		}
	}
	_, err := to.Write(data)
	return err == nil
}
