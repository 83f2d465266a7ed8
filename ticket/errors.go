package ticket

import "fmt"

// ExpiredError reports a ticket that can no longer be used, because its TTL has
// passed or the incarnation that issued it has ended. Whether its request ran is
// unknown.
type ExpiredError struct{ Reason string }

func (e *ExpiredError) Error() string { return "ticket expired: " + e.Reason }

// InvalidError reports a string that is not a ticket of this issuer.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid ticket: " + e.Reason }

// FullError reports that the table of used tickets is full, or was full when this
// ticket or a newer one was refused. The ticket's request did not run and never
// will.
type FullError struct{ Entries, Bytes int }

func (e *FullError) Error() string {
	return fmt.Sprintf("table of used tickets is full: %d entries, %d bytes of outcomes", e.Entries, e.Bytes)
}

// ReusedError reports a ticket that was used before for another request.
type ReusedError struct{}

func (e *ReusedError) Error() string { return "ticket was used for another request" }
