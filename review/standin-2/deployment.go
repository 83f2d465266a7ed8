package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
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

// Settings of the small deployment that a case runs.
const (
	host         = "review.example"
	usualDrain   = 3 * time.Second
	configApply  = 3 * time.Second
	beatInterval = 1200 * time.Millisecond
	startTimeout = 10 * time.Second
)

// unusableError reports that a case could not run.
type unusableError struct{ err error }

func (e *unusableError) Error() string { return "the case could not run: " + e.err.Error() }

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
	ip       string
	settings standin.VMSettings
	path     string
	cmd      *exec.Cmd
	log      *os.File
}

// deployment is a store, entry VMs and backend servers.
type deployment struct {
	record  *record
	dir     string
	drain   time.Duration // the bound drain_ms
	store   *standin.Store
	vms     []*vm
	servers []*server
	client  *http.Client
	stop    chan struct{}
	wg      sync.WaitGroup
}

// zoneOf returns the availability zone of the VM or server with an index.
func zoneOf(i int) string { return "zone-" + strconv.Itoa(i%2+1) }

// adminPort is where the command of the deploy file serves metrics.
const adminPort = "7389"

// freePorts sets each address to one with a free port of its own.
func freePorts(ip string, addresses ...*string) error {
	for _, address := range addresses {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return err
		}
		defer l.Close() // only after all are chosen, so that no port comes twice
		if *address = l.Addr().String(); *address == net.JoinHostPort(ip, adminPort) {
			return errors.New("port " + adminPort + " is taken")
		}
	}
	return nil
}

// newDeployment starts the store; addServer and startVMs add the rest.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "briarstand-review-")
	if err != nil {
		return nil, err
	}
	return &deployment{
		record: r, dir: dir, drain: usualDrain, store: standin.NewStore(), stop: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}},
	}, nil
}

// startVMs starts n VMs with the command of the deploy file, each on a loopback
// address of its own, and waits until all are ready.
func (d *deployment) startVMs(n int) error {
	zones := map[string]string{zoneOf(0): "region-1", zoneOf(1): "region-1", "zone-3": "region-2"}
	net16 := fmt.Sprintf("127.%d.%d.", 40+rand.IntN(160), rand.IntN(250))
	for i := range n {
		v := &vm{ip: net16 + strconv.Itoa(i+1)}
		s := standin.VMSettings{
			ID: fmt.Sprintf("front-%d", i+1), Zone: zoneOf(i), Region: "region-1", Zones: zones, Store: d.store.Address(), MemoryMB: 206,
			DrainMS: int(d.drain.Milliseconds()), StabilityMS: 4000, GraceS: 6, BudgetSlack: 126, BudgetRatio: 0.2, BudgetWindowS: 10, MaxTTLS: 5, MinTTLMS: 1000,
		}
		if err := freePorts(v.ip, &s.CallerAddress, &s.ReadyAddress, &s.PeerAddress, &s.ResolveAddress); err != nil {
			return err
		}
		v.settings, v.path = s, filepath.Join(d.dir, s.ID+".json")
		d.vms = append(d.vms, v)
	}
	for _, v := range d.vms {
		for _, other := range d.vms[:min(3, n)] {
			v.settings.Seeds = append(v.settings.Seeds, other.settings.PeerAddress)
		}
		if err := d.startVM(v); err != nil {
			return err
		}
	}
	return d.awaitReady(d.vms...)
}

func (d *deployment) startVM(v *vm) error {
	data, err := v.settings.File()
	if err != nil {
		return err
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	fields["ip"] = v.ip
	fields["bounds"].(map[string]any)["config_apply_ms"] = configApply.Milliseconds()
	if data, err = json.Marshal(fields); err != nil {
		return err
	}
	if err := os.WriteFile(v.path, data, 0o600); err != nil {
		return err
	}
	if v.log, err = os.OpenFile(filepath.Join(d.dir, v.settings.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
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

func (d *deployment) awaitReady(vms ...*vm) error {
	deadline := time.Now().Add(startTimeout)
	for _, v := range vms {
		for {
			resp, err := d.client.Get("http://" + v.settings.ReadyAddress + "/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New(v.settings.ID + " did not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes that the case started.
func (d *deployment) close() {
	close(d.stop)
	d.wg.Wait()
	for _, v := range d.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill() // it may have ended
			_ = v.cmd.Wait()
			v.log.Close()
		}
	}
	for _, s := range d.servers {
		s.backend.Close()
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	}
}

// server is a backend server with its entry in the store.
type server struct {
	deployment *deployment
	backend    *standin.Backend
	born       int64 // Unix time of its start in milliseconds

	mu       sync.Mutex
	state    string
	sequence int
	beating  bool
}

// addServer starts a backend server that writes its entry every beatInterval.
func (d *deployment) addServer(service string, serviceTime time.Duration) *server {
	i := len(d.servers)
	s := &server{deployment: d, born: time.Now().UnixMilli(), state: "ready", beating: true}
	s.backend = standin.NewBackend(fmt.Sprintf("i-%s-%d", service, i+1), service, zoneOf(i), []byte("body of "+service))
	s.backend.SetBehavior(standin.Behavior{ServiceTime: serviceTime})
	d.servers = append(d.servers, s)
	s.beat()
	d.wg.Go(func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-d.stop:
				return
			case <-ticker.C:
				s.beat()
			}
		}
	})
	return s
}

func (s *server) key() string { return "servers/" + s.backend.ID }

// fields returns what the server says of itself, without its sequence.
func (s *server) fields() map[string]any {
	return map[string]any{
		"service": s.backend.Service, "address": s.backend.Address(), "zone": s.backend.Zone, "version": "v1", "slots": s.backend.Slots,
		"state": s.state, "warmup_left_ms": 0, "born": s.born,
	}
}

// beat writes the entry, which changes only if more than the sequence does.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.beating {
		return
	}
	s.sequence++
	fields := s.fields()
	if items := s.deployment.store.Items(s.key()); len(items) > 0 && items[0].Key == s.key() {
		var held map[string]any
		if json.Unmarshal(items[0].Value, &held) == nil {
			delete(held, "sequence")
			if sameJSON(held, fields) {
				return
			}
		}
	}
	fields["sequence"] = s.sequence
	s.deployment.store.Put(s.key(), mustJSON(fields))
}

// leave removes the entry of a server that leaves without saying so. The server goes on
// serving for a while.
func (s *server) leave() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beating = false
	s.deployment.store.Delete(s.key())
	return time.Now()
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: the values are plain
	}
	return data
}

func sameJSON(a, b any) bool { return string(mustJSON(a)) == string(mustJSON(b)) }

// sent is a request of a client with its answer.
type sent struct {
	id, path, vm string
	at           time.Time
	status       int
	body         string
	err          error
}

// send sends one request to a VM and records its answer.
func (d *deployment) send(v *vm, method, path, id string, wait time.Duration) sent {
	r := sent{id: id, path: path, vm: v.settings.ID, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), wait+time.Second)
	defer cancel()
	caller := standin.Caller{Client: d.client}
	answer, err := caller.Send(ctx, v.settings.CallerAddress, method, host, path, id, wait)
	r.status, r.body, r.err = answer.Status, string(answer.Body), err
	d.record.printf("client %s %s to %s: status %d, error %v, body %q", id, path, r.vm, r.status, err, r.body)
	return r
}

// statuses counts the answers by status.
func statuses(requests []sent) map[int]int {
	counts := map[int]int{}
	for _, r := range requests {
		counts[r.status]++
	}
	return maps.Clone(counts)
}
