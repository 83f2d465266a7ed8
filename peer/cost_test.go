package peer

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/briarstand/briarstand/config"
)

// BenchmarkControlCost measures the control traffic, CPU time and memory per VM in
// fleets of several sizes that run over loopback in this process. Run it with
// -benchtime 1x. Bytes are the sum of both directions at the HTTP level, without
// TCP and IP headers. One small configuration change is made during the
// measurement.
func BenchmarkControlCost(b *testing.B) {
	for _, n := range []int{50, 150, 430} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				measureCost(b, n)
			}
		})
	}
}

const (
	// convergenceTimePerVM times n, the number of VMs, is how long the benchmark
	// waits for the tables to converge. After a start of the whole fleet, every
	// VM sends the entries of all others 3 log2(n+1) times, at most
	// membership.DefaultMaxUpdates (32) of them in a probe.
	convergenceTimePerVM = 450 * time.Millisecond
	measureTime          = 30 * time.Second
)

func measureCost(b *testing.B, n int) {
	store := newMemoryStore()
	for i := range 30 {
		svc := store.writeService(fmt.Sprintf("service%02d", i), &config.Service{ChangeID: "a"})
		accepted := []byte(fmt.Sprintf(`{"revision":%d}`, svc.Revision))
		_, _ = store.CompareAndSwap(b.Context(), config.AcceptedPrefix+svc.Name, 0, accepted)
	}
	before := heap()
	var fleet []*daemon
	for i := range n {
		d := start(b, store, i, nil)
		defer d.stop()
		fleet = append(fleet, d)
	}
	for _, d := range fleet {
		d.waitFresh(b)
	}
	time.Sleep(time.Duration(n) * convergenceTimePerVM)
	bytes, messages, cpu, began := traffic(fleet), sent(fleet), cpuTime(), time.Now()
	time.Sleep(measureTime / 2)
	fleet[n/2].control.StartRollout(store.writeService("service07", &config.Service{ChangeID: "b"}))
	time.Sleep(measureTime / 2)
	perVMSecond := 1 / (time.Since(began).Seconds() * float64(n))
	b.ReportMetric(float64(traffic(fleet)-bytes)*perVMSecond, "bytes/s/node")
	b.ReportMetric(float64(sent(fleet)-messages)*perVMSecond, "messages/s/node")
	b.ReportMetric((cpuTime()-cpu).Seconds()*perVMSecond*100, "%core/node")
	b.ReportMetric(float64(heap()-before)/float64(n)/1024, "KiB/node")
	b.ReportMetric(0, "ns/op")
	for _, d := range fleet {
		if got := len(d.members.View().Members); got != n {
			b.Fatalf("%s knows %d of %d VMs", d.address, got, n)
		}
		if err := d.control.Admit(); err != nil {
			b.Fatalf("%s: %v", d.address, err)
		}
	}
}

// traffic returns the bytes of control messages that were sent and received.
func traffic(fleet []*daemon) (total uint64) {
	for _, d := range fleet {
		c := newCounters(d.set)
		total += c.sentBytes.Get() + c.receivedBytes.Get()
	}
	return total
}

// sent returns the number of requests that were sent; each has one reply.
func sent(fleet []*daemon) (total uint64) {
	for _, d := range fleet {
		c := newCounters(d.set)
		for _, path := range []string{PathProbe, PathIndirectProbe, PathSync, PathPush, PathConfig} {
			total += c.messages("client", path).Get()
		}
	}
	return total
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the memory in use by heap objects and stacks, in bytes.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
