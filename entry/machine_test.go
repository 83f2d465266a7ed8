//go:build linux

package entry_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// segmentsSentAgain returns how many TCP segments each end of a connection within
// this process has sent again, to tell a lost segment from a late answer.
func segmentsSentAgain(conn net.Conn) string {
	const maxFD = 4096
	local, remote := conn.LocalAddr().(*net.TCPAddr), conn.RemoteAddr().(*net.TCPAddr)
	counts := map[string]uint32{}
	for fd := range maxFD {
		peer, err := unix.Getpeername(fd)
		if err != nil {
			continue // no connected socket
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			continue // no TCP
		}
		if p, ok := peer.(*unix.SockaddrInet4); ok {
			switch {
			case p.Port == local.Port && net.IP(p.Addr[:]).Equal(local.IP):
				counts["VM"] = info.Total_retrans
			case p.Port == remote.Port && net.IP(p.Addr[:]).Equal(remote.IP):
				// The caller's end, unless another connection of the process is open to the VM.
				counts["caller"] = max(counts["caller"], info.Total_retrans)
			}
		}
	}
	return fmt.Sprint(counts)
}

// processorWait returns for how long the threads of this process have been waiting for
// a processor, as the scheduler counts it; 0 if it does not.
func processorWait() time.Duration {
	paths, err := filepath.Glob("/proc/self/task/*/schedstat")
	if err != nil {
		return 0
	}
	var total time.Duration
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited time.Duration
		if _, err := fmt.Sscan(string(data), &ran, &waited); err == nil {
			total += waited
		}
	}
	return total
}
