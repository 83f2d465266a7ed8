package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/internal/heaptest"
	"github.com/briarstand/briarstand/mirror"
)

// peerWith serves records of a revision; 0 for a VM in trouble.
func peerWith(t *testing.T, revision int64) (address string) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if revision == 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if err := json.NewEncoder(w).Encode(mirror.Listing{Revision: revision}); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(web.Close)
	return web.Listener.Addr().String()
}

func newTestPeers(seeds ...string) *peers {
	return newPeers(newState(nil, "self", log.Default(), nil, time.Second), &Settings{VMID: "self", PeerSeeds: seeds})
}

// Guards against a VM that starts while the store turns it away, and takes the
// old records of a VM that was frozen although another one has newer: a server
// that had left was in use again.
func TestNewestRecordsAtStart(t *testing.T) {
	c := qt.New(t)
	p := newTestPeers(peerWith(t, 7), peerWith(t, 9), peerWith(t, 0))
	defer p.client.CloseIdleConnections()
	for range 20 {
		l, ok, err := p.Fetch(context.Background(), 0)
		c.Assert(err, qt.IsNil)
		c.Assert(ok, qt.IsTrue)
		c.Assert(l.Revision, qt.Equals, int64(9))
	}
	down := newTestPeers(peerWith(t, 0))
	defer down.client.CloseIdleConnections()
	_, ok, err := down.Fetch(context.Background(), 0)
	c.Assert(err, qt.IsNotNil)
	c.Assert(ok, qt.IsFalse)
}

// Guards against a VM in trouble whose records never end.
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
		_, ok, err := p.Fetch(context.Background(), 1)
		c.Check(err, qt.IsNotNil)
		c.Check(ok, qt.IsFalse)
	})
	c.Assert(grown < 14<<20, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
}
