package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// Settings of the deployment: the bounds of the site kyklo-search.
const (
	drain        = 3 * time.Second
	configApply  = 3 * time.Second
	stability    = 4 * time.Second
	beatInterval = 1200 * time.Millisecond
	startTimeout = 10 * time.Second
	restartDelay = 100 * time.Millisecond
	adminPort    = "7389" // of the command of the deploy file
)

// record writes the lines of record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// vm is one entry VM: the daemon of the deploy file in a process of its own.
type vm struct {
	settings standin.VMSettings
	ip, path string
	cmd      *exec.Cmd
	log      *os.File
}

// deployment is a store, entry VMs and backend servers.
type deployment struct {
	record   *record
	dir      string
	store    *standin.Store
	backends []*standin.Backend
	vms      []*vm
	client   *http.Client
}

func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "briarstand-review-")
	if err != nil {
		return nil, err
	}
	return &deployment{
		record: r, dir: dir, store: standin.NewStore(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}},
	}, nil
}

func (d *deployment) addBackend(service string, i int) {
	b := standin.NewBackend(fmt.Sprintf("i-%s-%d", service, i), service, fmt.Sprintf("zone-%d", i), []byte("body of "+service))
	b.SetBehavior(standin.Behavior{ServiceTime: 5 * time.Millisecond})
	b.Register(d.store, "ready")
	d.backends = append(d.backends, b)
}

// startVMs starts VMs, each on a loopback address of its own, and waits until they are ready.
func (d *deployment) startVMs(n int) error {
	network := fmt.Sprintf("127.%d.%d.", 40+rand.IntN(160), rand.IntN(250))
	for i := range n {
		v := &vm{ip: network + strconv.Itoa(i+1), settings: standin.VMSettings{
			ID: fmt.Sprintf("front-%d", i+1), Zone: fmt.Sprintf("zone-%d", i%2+1), Region: "region-1",
			Zones: map[string]string{"zone-1": "region-1", "zone-2": "region-1"}, Store: d.store.Address(), MemoryMB: 206,
			DrainMS: int(drain.Milliseconds()), StabilityMS: int(stability.Milliseconds()), GraceS: 6,
			BudgetSlack: 126, BudgetRatio: 0.2, BudgetWindowS: 10, MaxTTLS: 5, MinTTLMS: 1000,
		}}
		s := &v.settings
		if err := freePorts(v.ip, &s.CallerAddress, &s.ReadyAddress, &s.PeerAddress, &s.ResolveAddress); err != nil {
			return err
		}
		v.path = filepath.Join(d.dir, s.ID+".json")
		d.vms = append(d.vms, v)
	}
	for _, v := range d.vms {
		for _, seed := range d.vms {
			v.settings.Seeds = append(v.settings.Seeds, seed.settings.PeerAddress)
		}
		if err := d.startVM(v); err != nil {
			return err
		}
	}
	for _, v := range d.vms {
		if err := d.awaitReady(v); err != nil {
			return err
		}
	}
	return nil
}

// freePorts sets each address to one with a free port of its own.
func freePorts(ip string, addresses ...*string) error {
	for _, address := range addresses {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return err
		}
		defer l.Close() // only after all are chosen, so that no port comes twice
		*address = l.Addr().String()
	}
	return nil
}

// startVM starts the process of a VM with the command of the deploy file.
func (d *deployment) startVM(v *vm) error {
	data, err := v.settings.File()
	if err != nil {
		return err
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	fields["ip"], fields["beat_interval_ms"] = v.ip, beatInterval.Milliseconds()
	bounds, ok := fields["bounds"].(map[string]any)
	if !ok {
		return errors.New("the settings have no bounds")
	}
	bounds["config_apply_ms"] = configApply.Milliseconds()
	if data, err = json.Marshal(fields); err != nil {
		return err
	}
	if err := os.WriteFile(v.path, data, 0o600); err != nil {
		return err
	}
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(d.dir, v.settings.ID+".log")); err != nil {
			return err
		}
	}
	v.cmd = exec.Command("target/briarstand-entry", "--admin-port", adminPort)
	v.cmd.Env = []string{"BRIARSTAND_BOOT=" + v.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	d.record.printf("started %s, process %d, callers at %s", v.settings.ID, v.cmd.Process.Pid, v.settings.CallerAddress)
	return nil
}

// restart kills the process of a VM and starts it again.
func (d *deployment) restart(v *vm) error {
	d.record.printf("killed %s", v.settings.ID)
	if err := v.cmd.Process.Kill(); err != nil {
		return err
	}
	_ = v.cmd.Wait() // reports the signal
	time.Sleep(restartDelay)
	return d.startVM(v)
}

func (d *deployment) awaitReady(v *vm) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := d.client.Get("http://" + v.settings.ReadyAddress + "/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(v.settings.ID + " did not become ready")
}

// close ends all processes that the case started.
func (d *deployment) close() {
	for _, v := range d.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill() // it may have ended
			_ = v.cmd.Wait()
		}
		if v.log != nil {
			v.log.Close()
		}
	}
	for _, b := range d.backends {
		b.Close()
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	}
}
