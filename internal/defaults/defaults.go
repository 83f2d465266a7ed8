// Package defaults sets the defaults of unset configuration fields.
package defaults

import "cmp"

// Set sets a field to its default value if it is unset, that is zero or negative.
func Set[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
