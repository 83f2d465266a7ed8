// Command standin plays the cases of the review that are scripts: it starts the
// project's entry VMs as the deploy file does, with stand-ins of the platform,
// of searchers and of clients, and checks what these see.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// host is the host of all routes.
const host = "review.example"

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// bounds are the rules' bounds that a deployment has.
type bounds struct {
	DrainMS, ConfigApplyMS, StabilityMS int
	GraceS                              int
}

// deployment is a running system with its stand-ins.
type deployment struct {
	bounds  bounds
	trouble bool
	started time.Time
	dir     string
	store   *standin.Store
	vms     []*vm
	zones   map[string]string
	seeds   []string

	mu     sync.Mutex
	record *os.File
}

// vm is an entry VM: a machine with its process.
type vm struct {
	name, ip, zone, region string
	link                   *link // to the platform's store
	cmd                    *exec.Cmd
}

// ports of every VM, each on its own loopback address.
const (
	frontPort   = 8104
	readyPort   = 8108
	controlPort = 8106
	resolvePort = 8100
)

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// newDeployment prepares a deployment whose record goes to a file.
func newDeployment(recordPath string, b bounds) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &deployment{bounds: b, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), dir: dir, store: standin.NewStore(), record: record}, nil
}

// logf writes a line with the time since the start to the record.
func (d *deployment) logf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%9.3f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as seconds since the start.
func (d *deployment) at(t time.Time) float64 { return t.Sub(d.started).Seconds() }

// startVMs starts count VMs in each zone, named with its region, and waits until
// all have been ready for longer than the stability time.
func (d *deployment) startVMs(zones map[string]string, order []string, count int) error {
	for _, zone := range order {
		for i := range count {
			l, err := newLink(d.store.Address())
			if err != nil {
				return err
			}
			n := len(d.vms) + 1
			pid := os.Getpid()
			d.vms = append(d.vms, &vm{
				name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, region: zones[zone],
				ip: fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid&255, n), link: l,
			})
		}
	}
	d.zones = zones
	for i := 0; i < len(d.vms) && len(d.seeds) < 3; i += count {
		d.seeds = append(d.seeds, d.vms[i].address(controlPort))
	}
	for _, v := range d.vms {
		if err := d.startVM(v); err != nil {
			return err
		}
	}
	for _, v := range d.vms {
		if err := d.awaitReady(v); err != nil {
			return err
		}
	}
	time.Sleep(time.Duration(d.bounds.StabilityMS)*time.Millisecond + 2*time.Second)
	d.logf("%d VMs are ready and in touch", len(d.vms))
	return nil
}

func (d *deployment) startVM(v *vm) error {
	settings, err := json.MarshalIndent(map[string]any{
		"node_name": v.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "directory", "control"},
		"ip": v.ip, "zone": v.zone, "region": v.region, "zones": d.zones,
		"listen_addrs": map[string]string{
			"front": v.address(frontPort), "ready": v.address(readyPort), "control": v.address(controlPort), "directory": v.address(resolvePort),
		},
		"internal_ports": []int{7380, 7395}, "seeds": d.seeds, "bootstrap": true,
		"limits":           map[string]any{"cpu_share": 0.272, "cores": 1, "memory_mb": 206, "max_fds": 2870, "link_mbps": 700.0, "disk_mb": 0},
		"beat_interval_ms": 1200,
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stability_ms": d.bounds.StabilityMS, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": d.bounds.DrainMS,
			"grace_s": d.bounds.GraceS, "loss_slack_ms": 200, "config_apply_ms": d.bounds.ConfigApplyMS, "rollback_slack_ms": 250, "max_stretch_ms": 12000,
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 126, "recover_s": 12, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": v.link.address(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, v.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	// As in deploy/system.toml.
	v.cmd = exec.Command("target/briarstand-entry", "--admin-port", "7389")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRIARSTAND_BOOT=" + path}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	processes.Store(v, v.cmd.Process)
	d.logf("%s started", v.name)
	return nil
}

// processes holds the last process of each VM, to end it if the case is stopped.
var processes sync.Map // *vm to *os.Process

func killProcesses() {
	processes.Range(func(_, p any) bool {
		_ = p.(*os.Process).Kill() // fails if it has ended
		return true
	})
}

// kill ends the process of a VM at once.
func (d *deployment) kill(v *vm) {
	_ = v.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	_ = v.cmd.Wait()                          // returns that it was killed
	d.logf("%s is killed", v.name)
}

// readyTimeout limits the wait for a VM to become ready.
const readyTimeout = 15 * time.Second

func (d *deployment) awaitReady(v *vm) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + v.address(readyPort) + "/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", v.name, readyTimeout)
}

// close ends all processes that the deployment started, and removes its files.
func (d *deployment) close() {
	for _, v := range d.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
			_ = v.cmd.Wait()
		}
		v.link.close()
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	}
	d.record.Close()
}

// link is a network link to a target that can be cut: then it carries nothing in
// either direction, opens no connection and reports nothing, as a partition does.
type link struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	healed   chan struct{} // closed while the link is up
	delay    time.Duration // of the target's bytes
	conns    map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{target: target, listener: l, healed: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(k.healed)
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// cut cuts the link until heal.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

// setDelay delays what comes from the target, as bytes that are sent again after a
// loss.
func (k *link) setDelay(delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = delay
}

func (k *link) currentDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.delay
}

func (k *link) up() chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.healed
}

func (k *link) close() {
	k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.Close()
	}
}

func (k *link) accept() {
	for {
		from, err := k.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", k.target)
		if err != nil {
			from.Close()
			continue
		}
		k.mu.Lock()
		k.conns[from], k.conns[to] = true, true
		k.mu.Unlock()
		go k.copy(to, from, false)
		go k.copy(from, to, true)
	}
}

// chunk is data on the way through a link.
type chunk struct {
	data []byte
	due  time.Time
}

func (k *link) copy(to, from net.Conn, fromTarget bool) {
	defer from.Close()
	way := make(chan chunk, 1000)
	defer close(way)
	go func() {
		defer to.Close()
		for c := range way {
			time.Sleep(time.Until(c.due))
			<-k.up()
			if _, err := to.Write(c.data); err != nil {
				from.Close()
			}
		}
	}()
	for {
		buf := make([]byte, 32<<10)
		n, err := from.Read(buf)
		due := time.Now()
		if fromTarget {
			due = due.Add(k.currentDelay())
		}
		if n > 0 {
			way <- chunk{buf[:n], due}
		}
		if err != nil {
			return
		}
	}
}
