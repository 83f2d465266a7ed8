package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Caller sends requests to entry VMs as callers do, on reused connections.
type Caller struct {
	Zone, Region string
	Client       *http.Client
}

// Answer is an answer as a caller sees it.
type Answer struct {
	Status     int
	Body       []byte
	Signature  string
	Signatures []string // of the merged replies, if the request was a query
	Missing    int      // shards without a reply
	// RequestID is the request id in the answer.
	RequestID  string
	RetryAfter time.Duration
}

// Resolve asks a VM for the addresses to use for a host.
func (c *Caller) Resolve(ctx context.Context, address, host string) ([]string, error) {
	q := url.Values{"name": {host}, "zone": {c.Zone}, "region": {c.Region}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/resolve?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addrs"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("resolve: status %d", resp.StatusCode)
	}
	return answer.Addresses, json.NewDecoder(resp.Body).Decode(&answer)
}

// Send sends a request and reads the complete answer. wait is the time limit that
// the request sends in its header.
func (c *Caller) Send(ctx context.Context, address, method, host, path, id string, wait time.Duration) (Answer, error) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("one seat")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return Answer{}, err
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := c.Client.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, err
	}
	a := Answer{Status: resp.StatusCode, Body: data, Signature: resp.Header.Get("X-Server-Seal"), RequestID: resp.Header.Get("X-Request-Id")}
	if seals := resp.Header.Get("X-Part-Seals"); seals != "" {
		a.Signatures = strings.Split(seals, ", ")
	}
	a.Missing, _ = strconv.Atoi(resp.Header.Get("X-Missing-Parts"))
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	a.RetryAfter = time.Duration(seconds * float64(time.Second))
	return a, nil
}

// VMSettings are the settings of an entry VM on loopback addresses.
type VMSettings struct {
	ID, Zone, Region                                         string
	Zones                                                    map[string]string
	CallerAddress, ReadyAddress, PeerAddress, ResolveAddress string
	Seeds                                                    []string
	Store                                                    string
	MemoryMB                                                 int
	DrainMS, StabilityMS, GraceS, BudgetSlack                int
	BudgetRatio                                              float64
	BudgetWindowS, MaxTTLS, MinTTLMS                         int
}

// File returns the settings in the format of the platform's settings file.
func (s VMSettings) File() ([]byte, error) {
	return json.MarshalIndent(map[string]any{
		"node_name": s.ID, "ip": "127.0.0.1", "zone": s.Zone, "region": s.Region, "zones": s.Zones, "seeds": s.Seeds,
		"listen_addrs": map[string]string{"front": s.CallerAddress, "ready": s.ReadyAddress, "control": s.PeerAddress, "directory": s.ResolveAddress},
		"limits":       map[string]any{"cpu_share": 0.25, "cores": 1, "memory_mb": s.MemoryMB},
		"bounds": map[string]any{
			"drain_ms": s.DrainMS, "stability_ms": s.StabilityMS, "grace_s": s.GraceS, "retry_budget_ratio": s.BudgetRatio, "budget_window_s": s.BudgetWindowS,
			"retry_budget_slack": s.BudgetSlack, "ttl_max_s": s.MaxTTLS,
		},
		"platform": map[string]any{"address": s.Store, "ttl_min_ms": s.MinTTLMS},
	}, "", "  ")
}
