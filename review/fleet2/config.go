package fleet2

import "github.com/hickorybank/hickorybank/platform/platformtest"

// PutConfig writes a configuration with a plain service and an engine.
func PutConfig(s *platformtest.Store, version int) {
	route := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "app.example", "prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": 4000, "latency_goal_ms": 300, "max_attempts": 2, "priority": 1,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	s.Put("op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route("once", "unsafe", "plain", map[string]any{"max_attempts": 1}),
			route("safe", "safe", "plain", nil),
			route("stream", "stream", "engine", map[string]any{"resumable": true, "max_attempts": 3, "latency_goal_ms": 3000, "timeout_ms": 20000, "gap_aim_ms": 1200}),
			route("firm", "stream", "engine", map[string]any{"max_attempts": 3, "latency_goal_ms": 3000, "timeout_ms": 20000, "gap_aim_ms": 1200}),
		},
		"services": []any{
			map[string]any{"name": "plain", "max_conns": 110, "health_path": "/healthz"},
			map[string]any{"name": "engine", "max_conns": 300, "health_path": "/healthz", "engine": map[string]any{
				"slots": 48, "kv_capacity": 500000, "models": []any{map[string]any{"name": "m0", "cost": 0.1}},
			}},
		},
		"limits":  map[string]any{"max_body_bytes": 1 << 22, "idle_timeout_ms": 15000, "max_header_bytes": 16384, "header_timeout_ms": 5000},
		"tenants": []any{map[string]any{"name": "org-1", "api_keys": []string{"key-1"}}},
	})
}
