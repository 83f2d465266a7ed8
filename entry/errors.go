package entry

import "fmt"

// VersionError reports a configuration older than the one in force.
type VersionError struct{ Version, InForce int64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d is older than version %d, which is in force", e.Version, e.InForce)
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

// PeerStatusError reports a reply of another VM that is not a success.
type PeerStatusError struct {
	Address string
	Status  int
}

func (e *PeerStatusError) Error() string {
	return fmt.Sprintf("VM at %s: status %d", e.Address, e.Status)
}

// NoPeerError reports that no other VM is known.
type NoPeerError struct{}

func (*NoPeerError) Error() string { return "no other VM is known" }

// NotReadyError reports why a VM does not accept callers.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return e.Reason }
