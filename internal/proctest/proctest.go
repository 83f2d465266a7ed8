// Package proctest runs the product's programs as real processes in tests: the
// test binary runs itself under the program's name.
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

// programEnvVar makes the test binary run as one of the product's programs.
const programEnvVar = "BRIARSTAND_TEST_PROGRAM"

// Main runs the tests of a package, or the program that Start asked for. It is
// called by TestMain.
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

// outputBuffer collects what a program writes.
type outputBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *outputBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Start runs a program with arguments until it ends or the test does.
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

// Signal sends a signal. A program that has ended gets none.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the program at once and waits until it is gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Wait returns the exit code, or -1 if the program still runs after the time.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Log returns what the program has written so far.
func (p *Process) Log() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return p.log.buf.String()
}

// ReserveNetwork returns the first three parts of a loopback network that no
// other test uses, so that tests can use fixed ports side by side.
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
