package standin

import "encoding/json"

// Route is a route as the operator writes it.
type Route struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"prefix"`
	Kind        string   `json:"route_type"`
	TimeoutMS   int64    `json:"timeout_ms"`
	GoalMS      int64    `json:"goal_ms,omitempty"`
	Priority    int      `json:"priority"`
	MaxAttempts int      `json:"max_attempts"`
	Service     string   `json:"service,omitempty"`
	Gather      []string `json:"gather,omitempty"`
	Split       []Weight `json:"backends,omitempty"`
	Limit       int      `json:"top_k,omitempty"`
	MinShare    float64  `json:"min_share,omitempty"`
}

// Weight is a service with its part of a route.
type Weight struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Configure writes a configuration as the operator does.
func (s *Store) Configure(version int64, routes ...Route) {
	services := map[string]bool{}
	for _, r := range routes {
		for _, g := range r.Gather {
			services[g] = true
		}
		for _, w := range r.Split {
			services[w.Service] = true
		}
		if r.Service != "" {
			services[r.Service] = true
		}
	}
	list := []map[string]any{}
	for name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_conns": 58, "protocol": "h1", "tls": false})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // the routes have only plain values
	}
	s.Put("op/config", value)
}
