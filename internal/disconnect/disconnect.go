// Package disconnect tells a handler whether its client has disconnected before the
// http.Server notices. A server that gets little processor time may read a request
// long after its client has given up, and starts the handler before it finds that the
// connection is closed.
package disconnect

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
)

type connKey struct{}

// ConnContext is the http.Server.ConnContext that Disconnected requires.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Disconnected reports whether the client of a request has closed its connection. ctx
// is the context of the request.
func Disconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	return ok && closed(conn)
}

// closed reports whether the peer of a connection has closed it and all bytes that it
// sent have been read. It is false if that cannot be found out.
func closed(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var peekErr error
	// Control, unlike Read, does not wait for the server's own read to end.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	return peekErr == nil && n == 0 || errors.Is(peekErr, syscall.ECONNRESET) || errors.Is(peekErr, syscall.EPIPE)
}

// Handler returns middleware that does not call the next handler for clients that have
// disconnected, but dropped.
func Handler(dropped func(r *http.Request)) func(next http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if Disconnected(r.Context()) {
				dropped(r)
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
		})
	}
}
