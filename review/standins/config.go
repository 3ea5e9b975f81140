package main

// route returns a route of the configuration.
func route(name, prefix, kind, service string, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": 8000, "slo-ms": 400, "gap-slo-ms": 120, "priority": 1,
		"service": service, "max-attempts": 2, "anonymous": false, "resumable": resumable,
	}
}

// plainConfig returns a configuration with one service without engines.
func plainConfig() map[string]any {
	return map[string]any{
		"routes": []any{
			route("r-draft", "/draft/", "streaming", "writers", true),
			route("r-order", "/order/", "unsafe", "writers", false),
			route("r-short", "/short/", "safe", "writers", false),
		},
		"services": []any{map[string]any{"name": "writers", "health-path": "/health", "max-conns": 400, "protocol": "h1", "tls": false, "cold-s": 0.0, "cold-per-s": 0.0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []string{apiKey}, "priority": 1}},
	}
}
