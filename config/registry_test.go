package config_test

import (
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/config"
)

// TestRegistryRevisionNeverDecreases checks that the revision in force of a service
// never decreases and that no document is applied twice, when documents arrive out
// of order, repeatedly and from several goroutines.
func TestRegistryRevisionNeverDecreases(t *testing.T) {
	c := qt.New(t)
	r := config.NewRegistry()
	var mu sync.Mutex
	applied := map[int64]int{}
	r.OnApply(func(svc *config.Service) {
		mu.Lock()
		defer mu.Unlock()
		applied[svc.Revision]++
	})
	const writers, revisions = 4, 200
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := 1; i <= revisions; i++ {
				// Each writer applies the revisions in a different order.
				revision := int64((i*(2*w+1))%revisions + 1)
				before := r.Snapshot()
				r.Apply(&config.Service{Name: fmt.Sprint("s", revision%2), Revision: revision, Deleted: revision%2 == 0})
				after := r.Snapshot()
				for _, name := range []string{"s0", "s1"} {
					if after.Revision(name) < before.Revision(name) || after.Index < before.Index {
						t.Errorf("%s went from %d to %d", name, before.Revision(name), after.Revision(name))
					}
				}
				if after.Revision(fmt.Sprint("s", revision%2)) < revision {
					t.Errorf("revision %d is not in force after it was applied", revision)
				}
			}
		})
	}
	wg.Wait()
	snapshot := r.Snapshot()
	c.Assert(snapshot.Index, qt.Equals, int64(revisions))
	c.Assert(snapshot.All(), qt.HasLen, 2)
	c.Assert(snapshot.Since(revisions-1), qt.HasLen, 1)
	_, ok := snapshot.Service("s0")
	c.Assert(ok, qt.IsFalse, qt.Commentf("s0 is a tombstone"))
	for revision, n := range applied {
		c.Check(n, qt.Equals, 1, qt.Commentf("revision %d", revision))
	}
}
