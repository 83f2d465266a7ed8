package defaults

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a default that replaces a set value, and one that is not applied.
func TestSet(t *testing.T) {
	for _, test := range []struct{ field, want time.Duration }{{0, time.Second}, {-1, time.Second}, {1, 1}} {
		field := test.field
		Set(&field, time.Second)
		qt.Check(t, field, qt.Equals, test.want)
	}
}
