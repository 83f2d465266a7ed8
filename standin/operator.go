package standin

import "encoding/json"

// Route is a route of the operator's configuration.
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
	Shards      []string `json:"gather,omitempty"`
	Split       []Weight `json:"backends,omitempty"`
	Limit       int      `json:"top_k,omitempty"`
	MinShare    float64  `json:"min_share,omitempty"`
}

// Weight is a service with its weight in a route.
type Weight struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Limits are the operator's limits on the size of callers' requests, on the time to
// send their headers and on the time that a connection may be idle.
type Limits struct {
	HeaderBytes     int `json:"header_bytes"`
	BodyBytes       int `json:"body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

// DefaultLimits are the limits that Configure writes.
var DefaultLimits = Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}

// Configure writes a configuration with DefaultLimits, as the operator does.
func (s *Store) Configure(version int64, routes ...Route) {
	s.ConfigureLimits(version, DefaultLimits, routes...)
}

// ConfigureLimits writes a configuration with the given limits for callers.
func (s *Store) ConfigureLimits(version int64, limits Limits, routes ...Route) {
	services := map[string]bool{}
	for _, r := range routes {
		for _, name := range r.Shards {
			services[name] = true
		}
		for _, w := range r.Split {
			services[w.Service] = true
		}
		if r.Service != "" {
			services[r.Service] = true
		}
	}
	serviceList := []map[string]any{}
	for name := range services {
		serviceList = append(serviceList, map[string]any{"name": name, "health_path": "/health", "max_conns": s.maxConnections, "protocol": "h1", "tls": false})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": serviceList,
		"limits": limits,
	})
	if err != nil {
		panic(err) // cannot happen: the document has only plain values
	}
	s.Put("op/config", value)
}
