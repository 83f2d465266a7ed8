// Package explain reads the log lines of briarstand-entry and reports what happened
// to a request, or why requests failed.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	VM      string
	Message string
	Level   string
	// Fields holds the other fields, formatted for printing.
	Fields map[string]string
}

// Log holds the lines of one or more VMs, ordered by time.
type Log struct {
	Lines []Line
	// Skipped counts the lines that are not log lines of a VM.
	Skipped int
}

// maxLineBytes is the maximum length of a line, whether it is a log line or not.
const maxLineBytes = 1 << 20

// Read reads log lines. It ignores the text before the first brace of a line, as
// log collectors add a prefix to lines. It fails if a line exceeds 1 MiB.
func Read(readers ...io.Reader) (*Log, error) {
	log := &Log{}
	for _, r := range readers {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if line, ok := parse(scanner.Bytes()); ok {
				log.Lines = append(log.Lines, line)
			} else {
				log.Skipped++
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("read log lines: %w", err)
		}
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return log, nil
}

func parse(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text[i:]))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: map[string]string{}}
	for name, value := range fields {
		v := fmt.Sprint(value)
		switch name {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, v)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case "vm":
			l.VM = v
		case "msg":
			l.Message = v
		case "level":
			l.Level = v
		default:
			l.Fields[name] = v
		}
	}
	return l, l.Message != "" && !l.Time.IsZero()
}

// NotFoundError reports a request without log lines.
type NotFoundError struct{ ID string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line of request %s: it did not reach these VMs, or was one of the ordinary requests that are not all logged", e.ID)
}

// WriteRequest writes the log lines of a request, and those that show the state of
// its VM when the request ended. Times are relative to the last line of the request. It
// returns a *NotFoundError if the request has no lines.
func (l *Log) WriteRequest(w io.Writer, id string) error {
	var requestLines []Line
	for _, line := range l.Lines {
		if line.Fields["request_id"] == id {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return &NotFoundError{ID: id}
	}
	lines := append(l.vmStateLines(requestLines), requestLines...)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	end := requestLines[len(requestLines)-1].Time
	for _, line := range lines {
		if _, err := fmt.Fprintf(w, "%10s  %-20s %s\n", formatMS(line.Time.Sub(end)), line.VM, line.describe()); err != nil {
			return fmt.Errorf("write log lines: %w", err)
		}
	}
	return nil
}

// vmStateLines returns the lines that show the state of the VM at the end of the
// request: the latest ones about its start and stop, its configuration, the store
// and each backend server of the request.
func (l *Log) vmStateLines(requestLines []Line) []Line {
	vm, end := requestLines[0].VM, requestLines[len(requestLines)-1].Time
	backends := map[string]bool{}
	for _, line := range requestLines {
		if b := line.Fields["backend"]; b != "" {
			backends[b] = true
		}
	}
	latest := map[string]Line{}
	for _, line := range l.Lines {
		if line.VM != vm || line.Time.After(end) {
			continue
		}
		switch line.Message {
		case "started":
			// A restart makes the state lines of the earlier process obsolete.
			latest = map[string]Line{line.Message: line}
		case "configuration in force", "leaving":
			latest[line.Message] = line
		case "store answers", "store does not answer":
			latest["store"] = line
		case "backend server":
			if b := line.Fields["backend"]; backends[b] {
				latest["backend "+b] = line
			}
		}
	}
	lines := make([]Line, 0, len(latest))
	for _, line := range latest {
		lines = append(lines, line)
	}
	return lines
}

func (l Line) describe() string {
	var b strings.Builder
	b.WriteString(l.Message)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if v := l.Fields[name]; v != "" && name != "request_id" {
			fmt.Fprintf(&b, " %s=%s", name, quote(v))
		}
	}
	return b.String()
}

func quote(v string) string {
	if strings.ContainsAny(v, " \t\"") {
		return fmt.Sprintf("%q", v)
	}
	return v
}

func formatMS(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

// Cause is an outcome and a reason, with the number of requests that had both.
type Cause struct {
	Outcome, Reason string
	Requests        int
	// Example is the id of one of the requests.
	Example string
}

// Causes counts the requests that failed, were answered late or got an incomplete
// answer, by cause, the most frequent cause first.
func (l *Log) Causes() []Cause {
	causes := map[[2]string]*Cause{}
	for _, line := range l.Lines {
		if line.Message != "request" {
			continue
		}
		outcome, reason := line.Fields["outcome"], line.Fields["reason"]
		if line.Fields["late"] == "true" {
			outcome += ", late"
		}
		if outcome == "answered" && reason == "" {
			continue
		}
		key := [2]string{outcome, reason}
		c := causes[key]
		if c == nil {
			c = &Cause{Outcome: outcome, Reason: reason, Example: line.Fields["request_id"]}
			causes[key] = c
		}
		c.Requests++
	}
	list := make([]Cause, 0, len(causes))
	for _, c := range causes {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}
