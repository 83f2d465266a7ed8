package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/briarstand/briarstand/mirror"
	"github.com/briarstand/briarstand/relay"
)

const (
	recordsPath = "/records"
	// positionPath serves the position of a VM's records as a JSON object.
	positionPath = "/position"
	changesPath  = "/changes"
	// peerTimeout limits a read from another VM: a few round trips between
	// regions and the transfer.
	peerTimeout = 600 * time.Millisecond
	// maxPeerReply limits the records of another VM, in bytes.
	maxPeerReply = 3 << 20
	// maxHeaderBytes limits the headers of other VMs' replies, and those of
	// requests at all addresses except CallerAddress.
	maxHeaderBytes = 16 << 10
)

// peerClient reads the mirrors of other VMs as JSON over HTTP.
type peerClient struct {
	state  *state
	vmID   string
	zone   string
	self   string // this VM's own peer address
	seeds  []string
	client *http.Client
}

func newPeerClient(s *state, set *Settings) *peerClient {
	return &peerClient{state: s, vmID: set.VMID, zone: set.Zone, self: set.PeerAddress, seeds: set.PeerSeeds, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: peerTimeout}).DialContext, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
}

// maxStartupPeers is the maximum number of VMs that a VM without records asks for
// their revisions concurrently.
const maxStartupPeers = 3

// Fetch implements mirror.Peers: it asks one VM at random for its records. If
// this VM has no records yet, it asks several VMs and takes the newest listing,
// because a VM that was paused or partitioned may still have an old
// configuration and list servers that have left.
func (p *peerClient) Fetch(ctx context.Context, after mirror.Position) (l mirror.Listing, ok bool, err error) {
	addresses := slices.Clone(p.seeds)
	for _, m := range p.state.fleet.Load().known {
		addresses = append(addresses, m.PeerAddress)
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == p.self || a == "" })
	if len(addresses) == 0 {
		return l, false, &NoPeerError{}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if after.IsZero() {
		return p.fetchNewest(ctx, addresses[:min(len(addresses), maxStartupPeers)])
	}
	ok, err = p.get(ctx, addresses[0], recordsPathAfter(after), &l)
	return l, ok, err
}

func recordsPathAfter(after mirror.Position) string {
	return fmt.Sprintf("%s?%s", recordsPath, encodeAfter(after))
}

// encodeAfter and decodeAfter convert a position in the query of a path.
func encodeAfter(after mirror.Position) string {
	return fmt.Sprintf("after=%d&era=%d", after.Revision, after.Era)
}

func decodeAfter(query url.Values) (after mirror.Position, err error) {
	if after.Revision, err = strconv.ParseInt(query.Get("after"), 10, 64); err != nil || query.Get("era") == "" {
		return after, err // a VM of an older version sends no era
	}
	after.Era, err = strconv.ParseInt(query.Get("era"), 10, 64)
	return after, err
}

// fetchNewest asks all VMs for their positions, and the VM with the newest one
// for its records. It fails if all VMs do, or if that VM does not send its
// records.
func (p *peerClient) fetchNewest(ctx context.Context, addresses []string) (l mirror.Listing, ok bool, err error) {
	type result struct {
		address  string
		position mirror.Position
		err      error
	}
	results := make(chan result, len(addresses))
	for _, address := range addresses {
		go func() {
			r := result{address: address}
			defer func() { results <- r }()
			defer p.state.panics.Recover("position of another VM", func(err error) { r.err = err })
			_, r.err = p.get(ctx, address, positionPath, &r.position)
		}()
	}
	var newest result
	var errs []error
	for range addresses {
		r := <-results
		if r.err != nil {
			errs = append(errs, r.err)
		} else if newest.position.Before(r.position) {
			newest = r
		}
	}
	if len(errs) == len(addresses) {
		return l, false, errors.Join(errs...)
	}
	if newest.position.IsZero() {
		return l, false, nil
	}
	ok, err = p.get(ctx, newest.address, recordsPathAfter(mirror.Position{}), &l)
	return l, ok, err
}

// Available implements mirror.Source.
func (p *peerClient) Available() bool {
	_, ok := p.state.fleet.Load().source(p.vmID, p.zone)
	return ok
}

// Follow implements mirror.Source.
func (p *peerClient) Follow(ctx context.Context, after mirror.Position, wait time.Duration) (u mirror.Update, ok bool, err error) {
	source, ok := p.state.fleet.Load().source(p.vmID, p.zone)
	if !ok {
		return u, false, nil
	}
	path := fmt.Sprintf("%s?%s&wait_ms=%d", changesPath, encodeAfter(after), wait.Milliseconds())
	ok, err = p.get(ctx, source.PeerAddress, path, &u)
	return u, ok, err
}

// get reads JSON from another VM. ok is false if that VM replies without
// content.
func (p *peerClient) get(ctx context.Context, address, path string, into any) (ok bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false, fmt.Errorf("VM at %s: %w", address, err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return false, fmt.Errorf("VM at %s: %w", address, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return false, nil
	case http.StatusOK:
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxPeerReply)).Decode(into); err != nil {
			return false, fmt.Errorf("VM at %s: %w", address, err)
		}
		return true, nil
	}
	return false, &PeerStatusError{Address: address, Status: resp.StatusCode}
}

// peerHandler serves this VM's records to other VMs and relays their requests.
func peerHandler(s *state, relayHandler http.Handler) http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodPost, relay.Path, relayHandler)
	r.Get(relay.Path, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.Get(recordsPath, func(w http.ResponseWriter, req *http.Request) {
		after, err := decodeAfter(req.URL.Query())
		if err != nil {
			http.Error(w, "after or era is not a number", http.StatusBadRequest)
			return
		}
		if !after.Before(s.mirror.Position()) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		writeJSON(w, s.mirror.Listing())
	})
	r.Get(positionPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.mirror.Position()) })
	r.Get(changesPath, func(w http.ResponseWriter, req *http.Request) {
		after, err := decodeAfter(req.URL.Query())
		waitMS, waitErr := strconv.ParseInt(req.URL.Query().Get("wait_ms"), 10, 64)
		if err != nil || waitErr != nil || waitMS < 0 || waitMS > maxFollowWait.Milliseconds() {
			http.Error(w, "after, era or wait_ms is not allowed", http.StatusBadRequest)
			return
		}
		f := s.follower.Load()
		if f == nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		u, ok := f.Serve(req.Context(), after, time.Duration(waitMS)*time.Millisecond)
		if !ok {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		writeJSON(w, u)
	})
	return r
}

// maxFollowWait is the maximum wait_ms of a call for changes.
const maxFollowWait = 5 * time.Second

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the other VM has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
