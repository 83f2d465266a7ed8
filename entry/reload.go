package entry

import (
	"math"
	"reflect"
	"runtime/debug"
)

// Reload applies the bounds of new settings and returns the names of the other
// fields that differ, which apply from the next start.
func (d *Daemon) Reload(set Settings) (atNextStart []string) {
	bounds := set.Bounds
	d.bounds.Store(&bounds)
	setHeapLimit(bounds.MemoryBytes)
	d.limitHeldMemory(bounds.MemoryBytes)
	d.engine.SetBudgetRate(allocatedPermille(bounds.BudgetPermille))
	d.updateShares()

	atNextStart = []string{}
	// d.settings may hold ports that Listen chose.
	old, now := reflect.ValueOf(d.configured), reflect.ValueOf(set)
	for i := range now.NumField() {
		field := now.Type().Field(i)
		if !field.Anonymous && !reflect.DeepEqual(old.Field(i).Interface(), now.Field(i).Interface()) {
			atNextStart = append(atNextStart, field.Name)
		}
	}
	return atNextStart
}

// allocatedPermille returns how many of the hedges and retries allowed per thousand
// requests the known VMs may send; the rest covers VMs that start and do not know
// the others yet.
func allocatedPermille(permille int) int { return int(float64(permille) * allocatedBudgetFraction) }

// limitHeldMemory limits the memory that callers and backend servers may make
// the VM hold, by the memory that the process may use.
func (d *Daemon) limitHeldMemory(bytes int64) {
	if bytes <= 0 {
		bytes = defaultMemoryBytes
	}
	d.replyMemory.SetLimit(int64(float64(bytes) * replyMemoryFraction))
	d.requestMemory.SetLimit(int64(float64(bytes) * requestMemoryFraction))
}

// setHeapLimit limits the heap by the memory that the process may use.
func setHeapLimit(bytes int64) {
	limit := int64(math.MaxInt64)
	if bytes > 0 {
		limit = int64(float64(bytes) * heapFraction)
	}
	debug.SetMemoryLimit(limit)
}
