package command

import (
	"fmt"

	"github.com/briarstand/briarstand/config"
)

// NotFoundError reports a service or a backend server that does not exist.
type NotFoundError = config.NotFoundError

// ConflictError reports a change that is based on an outdated revision. This call
// did not take effect. SearchedTo says whether an earlier call with the same change
// id may have.
type ConflictError struct {
	Service  string
	Expected int64
	// Actual is the newest revision; 0 if the service does not exist.
	Actual int64
	// SearchedTo is 0 if the search for the change id covered every audit record
	// that can contain it. Otherwise it is the revision of the oldest record that
	// was searched, and an earlier call with the same change id may have taken
	// effect.
	SearchedTo int64
}

func (e *ConflictError) Error() string {
	text := fmt.Sprintf("service %s is at revision %d, the change expects revision %d; read the service again, re-apply the change and send it with the newest revision",
		e.Service, e.Actual, e.Expected)
	if e.SearchedTo > 0 {
		text += fmt.Sprintf("; audit records before revision %d were not searched for the change id", e.SearchedTo)
	}
	return text
}

// ExistsError reports the creation of a service that exists.
type ExistsError struct {
	Service  string
	Revision int64
}

func (e *ExistsError) Error() string {
	return fmt.Sprintf("service %s already exists at revision %d; update it instead", e.Service, e.Revision)
}

// ChangeIDReusedError reports a change id that an earlier, different change of
// the service already used. The change did not take effect.
type ChangeIDReusedError struct {
	Service  string
	ChangeID string
	// Action and Revision are those of the earlier change.
	Action   string
	Revision int64
}

func (e *ChangeIDReusedError) Error() string {
	return fmt.Sprintf("service %s: change id %s belongs to a different change (%s at revision %d); use a new change id",
		e.Service, e.ChangeID, e.Action, e.Revision)
}
