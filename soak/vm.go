package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// vm is a real entry daemon, started again whenever it ends.
type vm struct {
	binary, dir string
	settings    standin.VMSettings
	store       *proxy

	mu       sync.Mutex
	cmd      *exec.Cmd
	starts   int
	down     bool // not to be started again
	startGap time.Duration
	// disturbedUntil is until when faults of this VM excuse it.
	disturbedUntil time.Time
	disturbedSince time.Time
	faults         []time.Time
	wg             sync.WaitGroup
}

func (v *vm) writeSettings() error {
	data, err := v.settings.File()
	if err != nil {
		return err
	}
	return os.WriteFile(v.settingsPath(), data, 0o600)
}

func (v *vm) settingsPath() string { return filepath.Join(v.dir, v.settings.ID+".json") }

// run starts the process again and again until stop.
func (v *vm) run() {
	v.wg.Go(func() {
		for {
			cmd, err := v.start()
			if err != nil || cmd == nil {
				return
			}
			_ = cmd.Wait() // it may have been killed
			v.excuse(settle)
			time.Sleep(v.startGap)
		}
	})
}

func (v *vm) start() (*exec.Cmd, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return nil, nil
	}
	v.starts++
	out, err := os.Create(filepath.Join(v.dir, fmt.Sprintf("%s.%d.log", v.settings.ID, v.starts)))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(v.binary, "--settings", v.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	v.cmd = cmd
	return cmd, nil
}

// signal sends a signal to the process that runs now.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s) // it may just have ended
	}
}

// incarnation counts the starts of the process.
func (v *vm) incarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts
}

// stop ends the process for good.
func (v *vm) stop() {
	v.mu.Lock()
	v.down = true
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.wg.Wait()
}

// disturb notes a fault of the VM, which excuses it until d after now.
func (v *vm) disturb(d time.Duration) {
	v.mu.Lock()
	v.faults = append(v.faults, time.Now())
	v.mu.Unlock()
	v.excuse(d)
}

// faulty reports whether a fault of the VM began between two times.
func (v *vm) faulty(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return within(v.faults, from, to) > 0
}

// excuse notes that the VM is not to be blamed until d after now.
func (v *vm) excuse(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if now.After(v.disturbedUntil) {
		v.disturbedSince = now
	}
	if until := now.Add(d); until.After(v.disturbedUntil) {
		v.disturbedUntil = until
	}
}

// calm reports whether the VM had no fault between two times.
func (v *vm) calm(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.disturbedUntil.Before(from) || v.disturbedSince.After(to)
}

// residentMB returns the memory of the process in megabytes, 0 if it has ended.
func (v *vm) residentMB() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.cmd.Process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.cmd.Process.Pid))
	if err != nil {
		return 0 // it has just ended
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// listenAddresses returns the addresses of a VM: a loopback address of its own,
// which no other run and no outgoing connection has.
func listenAddresses(vm int) (addresses [4]string) {
	pid := os.Getpid()
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>8%250, pid&255, 1+vm, firstPort+i)
	}
	return addresses
}

// firstPort is the first of the ports that VMs listen on.
const firstPort = 7401
