package ticket

import "fmt"

// ExpiredError reports a ticket that can no longer run: its time is over, or
// the incarnation that issued it has ended. Whether it ran is not known.
type ExpiredError struct{ Reason string }

func (e *ExpiredError) Error() string { return "ticket expired: " + e.Reason }

// InvalidError reports a string that is no ticket of this issuer.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid ticket: " + e.Reason }

// FullError reports that the table of used tickets is full. The ticket did not
// run and never will.
type FullError struct{ Entries, Bytes int }

func (e *FullError) Error() string {
	return fmt.Sprintf("table of used tickets is full: %d entries, %d bytes of outcomes", e.Entries, e.Bytes)
}

// ReusedError reports a ticket that was used before for another request.
type ReusedError struct{}

func (e *ReusedError) Error() string { return "ticket was used for another request" }
