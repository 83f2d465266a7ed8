package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	ID, VM string
	Sent   time.Time
	Ended  time.Time
	Status int // 0 if there was none
	Seal   string
	Body   string
	Err    error
}

var lastRequest atomic.Int64

// newClient returns a client that keeps connections open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
}

// send sends one request to a VM and logs how it ended.
func (d *deployment) send(c *http.Client, v *vm, method, path, body string, wait time.Duration) answer {
	a := answer{ID: fmt.Sprintf("r%05d", lastRequest.Add(1)), VM: v.name, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.address(frontPort)+path, content)
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := c.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.Status, a.Seal, a.Body = resp.StatusCode, resp.Header.Get("X-Server-Seal"), string(data)
	}
	a.Err, a.Ended = err, time.Now()
	d.logf("client: %s %s %s sent to %s at %.3f s: status %d, seal %q, error %v", a.ID, method, path, v.name, d.at(a.Sent), a.Status, a.Seal, a.Err)
	return a
}
