// Package proctest runs the project's programs as separate processes in tests: the
// test binary starts itself as the program.
package proctest

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/briarstand/briarstand/cli"
)

// programEnvVar is the environment variable that names the program which the test
// binary runs. If it is empty, the test binary runs the tests.
const programEnvVar = "BRIARSTAND_TEST_PROGRAM"

// Main runs the program that programEnvVar names, or the tests of the package if the
// variable names none. TestMain calls it; Start sets the variable.
func Main(m *testing.M) {
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	switch os.Getenv(programEnvVar) {
	case "briarstandd":
		os.Exit(cli.RunDaemon(context.Background(), os.Args, streams))
	case "briarstand":
		os.Exit(cli.Run(context.Background(), os.Args, streams))
	}
	os.Exit(m.Run())
}

// Process is a running program.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  outputBuffer
}

// outputBuffer collects the output of a program.
type outputBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *outputBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Start starts a program, which is killed at the end of the test.
func Start(t testing.TB, program string, args ...string) *Process {
	t.Helper()
	p := &Process{cmd: exec.Command(os.Args[0], args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), programEnvVar+"="+program)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", program, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.Kill)
	return p
}

// Signal sends a signal to the program unless it has exited.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the program has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Wait waits until the program exits and returns its exit code, or -1 after the
// timeout.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Log returns the output of the program so far.
func (p *Process) Log() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return p.log.buf.String()
}

// ReserveNetwork returns the first three octets of a loopback network that no
// other test uses, so that concurrent tests can use fixed ports.
func ReserveNetwork(t testing.TB) string {
	for i := range 200 * 250 {
		network := fmt.Sprintf("127.%d.%d", 16+(os.Getpid()+i/250)%200, 1+i%250)
		if l, err := net.Listen("tcp", network+".254:7400"); err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return network
		}
	}
	t.Fatal("no free loopback network")
	return ""
}
