package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/internal/heaptest"
	"github.com/briarstand/briarstand/mirror"
)

// newPeerServer starts a fake peer API that serves an empty listing at a
// position. At the zero position it replies to everything with status 500. listings
// counts the listings that it served.
func newPeerServer(t *testing.T, position mirror.Position) (address string, listings *atomic.Int64) {
	listings = &atomic.Int64{}
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if position.IsZero() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		var answer any = position
		if r.URL.Path == recordsPath {
			listings.Add(1)
			answer = mirror.Listing{Era: position.Era, Revision: position.Revision}
		}
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(web.Close)
	return web.Listener.Addr().String(), listings
}

func newTestPeers(seeds ...string) *peerClient {
	return newPeerClient(newState(nil, &Settings{VMID: "self", DrainBound: time.Second}, log.Default(), nil), &Settings{VMID: "self", PeerSeeds: seeds})
}

// Guards against old records at a VM that starts while the store rejects its
// calls. It took those of a VM that had been paused although another VM had
// newer ones, and sent requests to a backend server that had left.
func TestNewestRecordsAtStart(t *testing.T) {
	c := qt.New(t)
	// A higher revision of an older era of the store is older.
	old, oldListings := newPeerServer(t, mirror.Position{Era: 1, Revision: 70})
	fresh, _ := newPeerServer(t, mirror.Position{Era: 2, Revision: 9})
	broken, _ := newPeerServer(t, mirror.Position{})
	p := newTestPeers(old, fresh, broken)
	defer p.client.CloseIdleConnections()
	for range 20 {
		l, ok, err := p.Fetch(context.Background(), mirror.Position{})
		c.Assert(err, qt.IsNil)
		c.Assert(ok, qt.IsTrue)
		c.Assert(l.Position(), qt.Equals, mirror.Position{Era: 2, Revision: 9})
	}
	c.Assert(oldListings.Load(), qt.Equals, int64(0), qt.Commentf("a listing crosses regions"))
	down := newTestPeers(broken)
	defer down.client.CloseIdleConnections()
	_, ok, err := down.Fetch(context.Background(), mirror.Position{})
	c.Assert(err, qt.IsNotNil)
	c.Assert(ok, qt.IsFalse)
}

// Guards against another VM whose reply never ends.
func TestEndlessRecords(t *testing.T) {
	c := qt.New(t)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(`{"records":[{"Key":"`))
		for block := make([]byte, 64<<10); err == nil; {
			for i := range block {
				block[i] = 'x'
			}
			_, err = w.Write(block)
		}
	}))
	defer web.Close()
	p := newTestPeers(web.Listener.Addr().String())
	grown := heaptest.Peak(func() {
		_, ok, err := p.Fetch(context.Background(), mirror.Position{Revision: 1})
		c.Check(err, qt.IsNotNil)
		c.Check(ok, qt.IsFalse)
	})
	c.Assert(grown < 14<<20, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
}
