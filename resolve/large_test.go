package resolve

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/membership"
)

// Checks that callers get the addresses of large VMs only while these can carry
// the load, and of all VMs otherwise.
func TestLargeVMs(t *testing.T) {
	fleet := func(cores ...float64) (members []membership.Member) {
		for i, c := range cores {
			members = append(members, membership.Member{ID: fmt.Sprint(i), Cores: c})
		}
		return members
	}
	many := func(n int, cores float64) (list []float64) {
		for range n {
			list = append(list, cores)
		}
		return list
	}
	for _, test := range []struct {
		name  string
		cores []float64
		want  int
	}{
		{"equal", many(18, 0.272), 18},
		{"unknown", many(5, 0), 5},
		{"few large among many small", append(many(12, 0.8), many(126, 0.134)...), 12},
		{"too few large", append(many(2, 0.8), many(126, 0.134)...), 128},
		{"large VMs without enough CPU", append(many(5, 0.8), many(126, 0.134)...), 131},
		{"only small left", many(126, 0.134), 126},
		{"nearly equal", append(many(3, 1), many(3, 0.7)...), 6},
		{"none", nil, 0},
	} {
		qt.Check(t, LargeVMs(fleet(test.cores...)), qt.HasLen, test.want, qt.Commentf(test.name))
	}
}
