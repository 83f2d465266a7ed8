package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/mirror"
)

// Guards the drain bound: the time for which changes gather and the time for
// which a server that left may still get work, with the way of the news.
func TestLastResortStaysInDrainBound(t *testing.T) {
	const news = 400 * time.Millisecond // a store that is slow, and a late timer
	for _, bound := range []time.Duration{3 * time.Second, 4 * time.Second} {
		qt.Check(t, bound/gatherPart+lastResort(bound)+news <= bound, qt.IsTrue, qt.Commentf("%v", bound))
		qt.Check(t, mirror.SettleGather+max(lapseHold, lastResort(bound))+news <= bound, qt.IsTrue, qt.Commentf("%v", bound))
	}
}
