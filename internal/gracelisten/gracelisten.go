// Package gracelisten provides TCP listeners whose Close resets no connection.
//
// The kernel accepts connections before the process does. When a listening socket is
// closed, the kernel resets those that wait to be accepted, with the requests that their
// clients have sent. A process that is slow, as in a planned stop under load, has some.
package gracelisten

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// Listener is a TCP listener. After Close, Accept first returns the connections that were
// waiting.
type Listener struct {
	*net.TCPListener
	mu      sync.Mutex
	waiting []net.Conn // accepted by Close
}

// Listen listens on a TCP address.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil || !errors.Is(err, net.ErrClosed) {
		return c, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return nil, err
	}
	c, l.waiting = l.waiting[0], l.waiting[1:]
	return c, nil
}

// Close implements net.Listener. It accepts the connections that wait, and closes the
// socket right after that, so that further ones are refused.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Join(err, l.TCPListener.Close())
	}
	var fds []int
	var acceptErr error
	err = raw.Control(func(listening uintptr) { fds, acceptErr = acceptWaiting(int(listening)) })
	closeErr := l.TCPListener.Close()
	if err != nil {
		return closeErr // the listener was closed before
	}
	for _, fd := range fds {
		c, err := newConn(fd)
		acceptErr = errors.Join(acceptErr, err)
		if err == nil {
			l.waiting = append(l.waiting, c)
		}
	}
	return errors.Join(acceptErr, closeErr)
}

// acceptWaiting accepts connections until none waits.
func acceptWaiting(listening int) (fds []int, err error) {
	for {
		fd, _, err := syscall.Accept4(listening, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch {
		case err == nil:
			fds = append(fds, fd)
		case errors.Is(err, syscall.EAGAIN):
			return fds, nil
		case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
		default:
			return fds, fmt.Errorf("accept waiting connections: %w", err)
		}
	}
}

// newConn returns the connection of a socket.
func newConn(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	c, err := net.FileConn(file)
	if err != nil {
		return nil, fmt.Errorf("take over accepted connection: %w", err)
	}
	return c, nil
}
