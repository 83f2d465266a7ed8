package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/briarstand/briarstand/mirror"
	"github.com/briarstand/briarstand/relay"
)

const (
	peerPath = "/records"
	// peerTimeout bounds a read from another VM: a few round trips between
	// regions and the transfer.
	peerTimeout = 600 * time.Millisecond
	// maxPeerReply bounds the records of another VM in bytes.
	maxPeerReply = 16 << 20
)

// peers reads the mirrors of other VMs over HTTP with JSON.
type peers struct {
	state  *state
	self   string
	seeds  []string
	client *http.Client
}

func newPeers(s *state, self string, seeds []string) *peers {
	return &peers{state: s, self: self, seeds: seeds, client: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{
		IdleConnTimeout: 5 * time.Second, DisableCompression: true,
	}}}
}

// Fetch implements mirror.Peers: it asks one VM at random.
func (p *peers) Fetch(ctx context.Context, after int64) (l mirror.Listing, ok bool, err error) {
	addresses := slices.Clone(p.seeds)
	for _, m := range p.state.fleet.Load().known {
		addresses = append(addresses, m.PeerAddress)
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == p.self || a == "" })
	if len(addresses) == 0 {
		return l, false, &NoPeerError{}
	}
	address := addresses[rand.IntN(len(addresses))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+peerPath+"?after="+strconv.FormatInt(after, 10), nil)
	if err != nil {
		return l, false, fmt.Errorf("VM at %s: %w", address, err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return l, false, fmt.Errorf("VM at %s: %w", address, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return l, false, nil
	case http.StatusOK:
		err := json.NewDecoder(io.LimitReader(resp.Body, maxPeerReply)).Decode(&l)
		if err != nil {
			return l, false, fmt.Errorf("VM at %s: %w", address, err)
		}
		return l, true, nil
	}
	return l, false, &PeerStatusError{Address: address, Status: resp.StatusCode}
}

// peerHandler gives this VM's records to others and relays for them.
func peerHandler(m *mirror.Mirror, relayed http.Handler) http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodPost, relay.Path, relayed)
	r.Get(relay.Path, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.Get(peerPath, func(w http.ResponseWriter, req *http.Request) {
		after, err := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a number", http.StatusBadRequest)
			return
		}
		if m.Revision() <= after {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the other VM has gone.
		_ = json.NewEncoder(w).Encode(m.Listing())
	})
	return r
}
