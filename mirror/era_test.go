package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// eraStore is a store whose watch waits until release is closed.
type eraStore struct {
	listing Listing
	changes Changes
	watched chan struct{} // closed at the first watch
	release chan struct{}
}

func (s *eraStore) List(context.Context) (Listing, error) { return s.listing, nil }

func (s *eraStore) Watch(ctx context.Context, after int64, _ time.Duration) (Changes, error) {
	select {
	case <-s.watched:
	default:
		close(s.watched)
		<-s.release
		return s.changes, nil
	}
	<-ctx.Done()
	return Changes{}, ctx.Err()
}

// Guards against changes that are lost when a watch from a revision of an older era is answered in the new one.
func TestWatchFromOlderEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &eraStore{
			listing: Listing{Records: []Record{{Key: "config", Revision: 20}}, Revision: 20},
			changes: Changes{Era: 1, Revision: 22, Changes: []Change{{Record: Record{Key: "other", Revision: 21}}}},
			watched: make(chan struct{}), release: make(chan struct{}),
		}
		m := New()
		start(t, FollowerConfig{Mirror: m, Store: store})
		<-store.watched // after revision 20 of era 0
		_, err := m.Replace(Listing{Era: 1, Revision: 14, Records: []Record{{Key: "config", Revision: 1}}})
		c.Assert(err, qt.IsNil)
		store.listing = Listing{Era: 1, Revision: 22, Records: []Record{{Key: "config", Revision: 15}, {Key: "other", Revision: 21}}}
		close(store.release)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		c.Assert(m.Position(), qt.Equals, Position{Era: 1, Revision: 22})
		c.Assert(m.Listing().Records, qt.DeepEquals, store.listing.Records)
	})
}
