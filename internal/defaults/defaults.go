// Package defaults fills in what a configuration leaves out.
package defaults

import "cmp"

// Set gives a field its default if it is unset: zero, or negative.
func Set[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
