package soak

import (
	"fmt"
	"math/rand/v2"
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

// vm runs an entry daemon and restarts it whenever it exits.
type vm struct {
	binary, dir string
	settings    standin.VMSettings
	store       *proxy

	mu           sync.Mutex
	cmd          *exec.Cmd
	starts       []time.Time // of its processes
	stopping     bool        // not to be restarted
	restartDelay time.Duration
	unstable     []span      // faults, each with the stability period after it
	faultTimes   []time.Time // start times
	wg           sync.WaitGroup
}

// changeSettings writes a settings file with other limits, none above those of the
// checks, and tells the process to read it.
func (v *vm) changeSettings(rng *rand.Rand) {
	v.mu.Lock()
	v.settings.BudgetSlack = budgetSlack - rng.IntN(20)
	v.settings.MemoryMB = memoryLimitMB - rng.IntN(40)
	err := v.writeSettings() // on an error the old file stays
	v.mu.Unlock()
	if err == nil {
		v.signal(syscall.SIGHUP)
	}
}

func (v *vm) writeSettings() error {
	data, err := v.settings.File()
	if err != nil {
		return err
	}
	return os.WriteFile(v.settingsPath(), data, 0o600)
}

func (v *vm) settingsPath() string { return filepath.Join(v.dir, v.settings.ID+".json") }

// supervise starts the process and restarts it until stop is called.
func (v *vm) supervise() {
	v.wg.Go(func() {
		for {
			cmd, err := v.start()
			if err != nil || cmd == nil {
				return
			}
			_ = cmd.Wait() // returns an error if the process was killed
			v.markUnstable(stabilityPeriod)
			time.Sleep(v.restartDelay)
		}
	})
}

// start starts the process. It returns nil without an error after stop was called.
func (v *vm) start() (*exec.Cmd, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping {
		return nil, nil
	}
	v.starts = append(v.starts, time.Now())
	out, err := os.Create(filepath.Join(v.dir, fmt.Sprintf("%s.%d.log", v.settings.ID, len(v.starts))))
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

// signal sends a signal to the current process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s) // the process may have exited
	}
}

// incarnation counts the starts of the process.
func (v *vm) incarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.starts)
}

// stop kills the process and does not restart it.
func (v *vm) stop() {
	v.mu.Lock()
	v.stopping = true
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.wg.Wait()
}

// recordFault records the start of a fault of the VM, which makes the VM unstable
// for d.
func (v *vm) recordFault(d time.Duration) {
	v.mu.Lock()
	v.faultTimes = append(v.faultTimes, time.Now())
	v.mu.Unlock()
	v.markUnstable(d)
}

// faultBegan reports whether a fault of the VM began between two times.
func (v *vm) faultBegan(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return countWithin(v.faultTimes, from, to) > 0
}

// interrupted reports whether a fault of the VM began or a process of it was started
// between two times. A process keeps no notices of the one before.
func (v *vm) interrupted(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return countWithin(v.faultTimes, from, to) > 0 || countWithin(v.starts, from, to) > 0
}

// markUnstable records that the VM is unstable for d: checks that assume a stable
// VM skip it. Unlike recordFault, it records no fault.
func (v *vm) markUnstable(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.unstable = append(v.unstable, span{now, now.Add(d)})
}

// stable reports whether the VM was stable all the time between from and to.
func (v *vm) stable(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !overlapAny(v.unstable, from, to)
}

// residentMB returns the resident memory of the process in MiB, or 0 if it has
// exited.
func (v *vm) residentMB() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.cmd.Process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has exited
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

// listenAddresses returns the listen addresses of a VM. They share a loopback IP
// address that no other VM, run or outgoing connection uses, so that their ports
// are free.
func listenAddresses(vm int) (addresses [4]string) {
	pid := os.Getpid()
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>8%250, pid&255, 1+vm, firstPort+i)
	}
	return addresses
}

// firstPort is the first of the ports that VMs listen on.
const firstPort = 7401
