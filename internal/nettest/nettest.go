// Package nettest provides network connections for tests.
package nettest

import "net"

// GatedListener accepts connections once Open is closed; until then they wait in the
// kernel, as they do while a process gets no processor time.
type GatedListener struct {
	net.Listener
	Open chan struct{}
}

// NewGatedListener returns a GatedListener that does not accept connections yet.
func NewGatedListener(l net.Listener) *GatedListener {
	return &GatedListener{Listener: l, Open: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *GatedListener) Accept() (net.Conn, error) {
	<-l.Open
	return l.Listener.Accept()
}
