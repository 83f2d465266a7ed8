package config

import (
	"fmt"
	"strings"
)

// maxFieldsShown is the maximum number of fields in the message of a
// ValidationError, which goes into logs and replies.
const maxFieldsShown = 20

// ValidationError reports every field of a document with a value that is not
// allowed. It unwraps to its *FieldError values.
type ValidationError struct {
	Service string
	Fields  []*FieldError
}

func (e *ValidationError) Error() string {
	shown := e.Fields[:min(len(e.Fields), maxFieldsShown)]
	messages := make([]string, 0, len(shown)+1)
	for _, f := range shown {
		messages = append(messages, f.Error())
	}
	if more := len(e.Fields) - len(shown); more > 0 {
		messages = append(messages, fmt.Sprintf("and %d more fields", more))
	}
	return fmt.Sprintf("service %q: %s", e.Service, strings.Join(messages, "; "))
}

// Unwrap returns the errors of the individual fields.
func (e *ValidationError) Unwrap() []error {
	errs := make([]error, len(e.Fields))
	for i, f := range e.Fields {
		errs[i] = f
	}
	return errs
}

// DocumentError reports a stored document that is not valid.
type DocumentError struct {
	Key   string
	Index int64
	Err   error
}

func (e *DocumentError) Error() string {
	return fmt.Sprintf("document %s at index %d is corrupt: %v", e.Key, e.Index, e.Err)
}

func (e *DocumentError) Unwrap() error { return e.Err }

// NotFoundError reports a service, or a backend server of a service, that does
// not exist.
type NotFoundError struct {
	Service string
	// Backend is the id of the missing backend server; empty when the service
	// itself is missing.
	Backend string
	// Revision is the revision of the tombstone or of the service that lacks
	// the backend server; 0 if the service never existed.
	Revision int64
}

func (e *NotFoundError) Error() string {
	switch {
	case e.Backend != "":
		return fmt.Sprintf("service %s at revision %d has no backend server %s", e.Service, e.Revision, e.Backend)
	case e.Revision > 0:
		return fmt.Sprintf("service %s was deleted at revision %d", e.Service, e.Revision)
	}
	return fmt.Sprintf("service %s does not exist", e.Service)
}
