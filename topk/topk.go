// Package topk selects the best items of many without sorting all of them. It also
// merges parts: a part is the reply for one shard of a query, a sequence of records
// of RecordSize bytes.
package topk

import "slices"

// Selector keeps the best items that were added, up to a limit. Most items of
// a query over many shards are dropped after one comparison.
type Selector[T any] struct {
	limit   int
	compare func(a, b T) int
	heap    []T // the worst selected item is at the root
}

// New returns a Selector for limit items. compare is negative when its first
// argument is better. expected is the number of items that will be added, or 0
// if unknown; it determines only the initial capacity.
func New[T any](limit, expected int, compare func(a, b T) int) *Selector[T] {
	return &Selector[T]{limit: limit, compare: compare, heap: make([]T, 0, max(0, min(expected, limit)))}
}

// Add keeps an item if it is among the best limit items added so far.
func (s *Selector[T]) Add(item T) {
	switch {
	case len(s.heap) < s.limit:
		s.heap = append(s.heap, item)
		s.up(len(s.heap) - 1)
	case len(s.heap) > 0 && s.compare(item, s.heap[0]) < 0:
		s.heap[0] = item
		s.down()
	}
}

// Sorted returns the selected items, best first. The Selector must not be used
// afterwards.
func (s *Selector[T]) Sorted() []T {
	slices.SortFunc(s.heap, s.compare)
	return s.heap
}

// up moves a new item towards the root, past better ones.
func (s *Selector[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.compare(s.heap[i], s.heap[parent]) <= 0 {
			return
		}
		s.heap[i], s.heap[parent] = s.heap[parent], s.heap[i]
		i = parent
	}
}

// down moves the item at the root towards the leaves, past worse ones.
func (s *Selector[T]) down() {
	for i := 0; ; {
		worst := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(s.heap); child++ {
			if s.compare(s.heap[child], s.heap[worst]) > 0 {
				worst = child
			}
		}
		if worst == i {
			return
		}
		s.heap[i], s.heap[worst] = s.heap[worst], s.heap[i]
		i = worst
	}
}
