package mirror

import "fmt"

// Position is a moment in the history of the store. A store that comes back from an older
// copy of itself begins a new era: revisions that its copy does not have are given out
// again, for other changes. So revisions are comparable within an era only.
type Position struct {
	// Era counts how often the store has come back from a copy; 0 if the store has no eras.
	Era int64 `json:"era,omitempty"`
	// Revision is the store revision; 0 before the first listing.
	Revision int64 `json:"revision"`
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// IsZero reports whether p is the position before the first listing.
func (p Position) IsZero() bool { return p == Position{} }

func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
