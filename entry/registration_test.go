package entry

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/kvstore"
	"github.com/briarstand/briarstand/membership"
)

// slowPlatform answers each call after a time, if the call lasts that long.
type slowPlatform struct {
	modelPlatform
	delay time.Duration
	puts  int
}

func (p *slowPlatform) GrantLease(ctx context.Context, _ time.Duration) (kvstore.LeaseID, error) {
	return "1", modelSleep(ctx, p.delay)
}

func (p *slowPlatform) RenewLease(ctx context.Context, _ kvstore.LeaseID) error {
	return modelSleep(ctx, p.delay)
}

func (p *slowPlatform) RevokeLease(context.Context, kvstore.LeaseID) error { return nil }

func (p *slowPlatform) Put(ctx context.Context, _ string, _ []byte, _ kvstore.LeaseID) error {
	err := modelSleep(ctx, p.delay)
	if err == nil {
		p.puts++
	}
	return err
}

// Guards against a VM that can't register again, once a call has failed, while each call to
// the store takes longer than the timeout of its retries.
func TestRegistersAtSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slowPlatform{delay: 2 * registerRetryTimeout}
		failures := 0
		reg := newRegistration(p, log.New(io.Discard), membership.Member{ID: "vm"}, 0, func() {}, func(time.Time, error) { failures++ })
		reg.failures = 1 // a call has failed
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go reg.run(ctx)
		time.Sleep(4 * patientRetry * registerRetryTimeout)
		synctest.Wait()
		qt.Check(t, failures > 0, qt.IsTrue)
		qt.Check(t, p.puts > 0, qt.IsTrue)
	})
}
