package server

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/briarstand/briarstand/backend"
	"github.com/briarstand/briarstand/config"
)

// randomPicker chooses replicas at random. It stands in until package balance
// exists.
type randomPicker struct{}

func (randomPicker) Pick(_ config.ReplicaChoice, candidates []*config.Backend, tried []string) (*config.Backend, bool) {
	var left []*config.Backend
	for _, b := range candidates {
		if !slices.Contains(tried, b.ID) {
			left = append(left, b)
		}
	}
	if len(left) == 0 {
		return nil, false
	}
	return left[rand.IntN(len(left))], true
}

func (randomPicker) Started(string) {}

func (randomPicker) Finished(string, time.Duration, backend.Status) {}
