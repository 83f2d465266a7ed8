package standin

import (
	"maps"
	"time"
)

// recordLimit limits the length of Record.Runs and of Record.NonIdempotent.
const recordLimit = 1 << 16

// Run is a sub-request that started to run.
type Run struct {
	ID            uint64    `json:"id"`
	RequestID     string    `json:"request_id"`
	Service       string    `json:"service"`
	IndexVersion  string    `json:"index_version"`
	Shard         int       `json:"shard"`
	NonIdempotent bool      `json:"non_idempotent,omitempty"`
	Received      time.Time `json:"received"`
	Started       time.Time `json:"started"`
	Finished      time.Time `json:"finished"`
	// Cancelled reports that the run was stopped early.
	Cancelled bool `json:"cancelled,omitempty"`
	// Late reports that the run started after its deadline.
	Late bool `json:"late,omitempty"`
}

// Connections counts HTTP/2 connections.
type Connections struct {
	Open     int `json:"open"`
	Peak     int `json:"peak"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
}

// Record counts what a backend server did.
type Record struct {
	// Received counts sub-requests, Started those that began to run, Cancelled
	// those that were stopped while running.
	Received  int64 `json:"received"`
	Started   int64 `json:"started"`
	Cancelled int64 `json:"cancelled"`
	// Busy is the time spent running, summed over slots.
	Busy Duration `json:"busy"`
	// Refused counts sub-requests that did not run, by reason.
	Refused map[string]int64 `json:"refused"`
	// LastReceived is when the last new sub-request arrived.
	LastReceived time.Time   `json:"last_received"`
	Connections  Connections `json:"connections"`
	Streams      int         `json:"streams"`
	Draining     bool        `json:"draining"`
	// NonIdempotent counts runs of non-idempotent sub-requests by request id and
	// shard, joined by "/". It holds the first 65536.
	NonIdempotent map[string]int `json:"non_idempotent,omitempty"`
	// Runs holds the newest runs, at most 65536, oldest first.
	Runs []Run `json:"runs,omitempty"`
}

// history keeps the newest runs in a ring buffer.
type history struct {
	runs          []Run
	next          int
	nonIdempotent map[string]int
}

func (h *history) add(r Run) {
	if len(h.runs) < recordLimit {
		h.runs = append(h.runs, r)
		return
	}
	h.runs[h.next] = r
	h.next = (h.next + 1) % recordLimit
}

func (h *history) countRun(key string) {
	if _, ok := h.nonIdempotent[key]; !ok && len(h.nonIdempotent) >= recordLimit {
		return
	}
	h.nonIdempotent[key]++
}

func (h *history) copyTo(r *Record) {
	r.NonIdempotent = maps.Clone(h.nonIdempotent)
	r.Runs = append(append([]Run(nil), h.runs[h.next:]...), h.runs[:h.next]...)
}
