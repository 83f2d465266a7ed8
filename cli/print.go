package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

// printJSON prints a message as JSON. It indents with encoding/json, because
// protojson deliberately varies its white space.
func printJSON(w io.Writer, m proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	var buf bytes.Buffer
	if err := json.Indent(&buf, raw, "", "  "); err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	buf.WriteByte('\n')
	_, err = buf.WriteTo(w)
	return err
}

// printTable prints rows in aligned columns; the first row is the header.
func printTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}

func printRollout(w io.Writer, r *briarstandv1.Rollout) {
	fmt.Fprintf(w, "service %s, revision %d: %s, in force at %d of %d VMs\n",
		r.Service, r.Revision, rolloutState(r.State), r.VmsInForce, r.VmsTotal)
	if len(r.WaitingFor) > 0 {
		fmt.Fprintf(w, "waiting for: %s\n", strings.Join(r.WaitingFor, ", "))
	}
}

func rolloutState(s briarstandv1.RolloutState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "ROLLOUT_STATE_"))
}

func outcomeName(o briarstandv1.Outcome) string {
	return strings.ToLower(strings.TrimPrefix(o.String(), "OUTCOME_"))
}

// oneLine collapses white space, line breaks included, so that the text fits in
// a table cell.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
