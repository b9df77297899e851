package main

// document is a JSON object.
type document map[string]any

// limits are those of the site files.
var limits = document{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// configure writes a version of the configuration.
func (b *bench) configure(version int, routes, services []document) error {
	b.note("the operator writes version %d", version)
	return b.store.put("keyed.op", "config", document{
		"version": version, "routes": routes, "services": services, "limits": limits,
		"tenants": []document{{"name": "bozi300", "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// plainRoute returns a route of the given kind without stages.
func plainRoute(name, prefix, kind, service string, timeoutMS, aimMS int) document {
	return document{"name": name, "host": "jepu9.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMS,
		"targetLatencyMs": aimMS, "priority": 1, "service": service, "attempts": 2, "public": false}
}

// plainService returns a service without stages.
func plainService(name string) document {
	return document{"name": name, "healthCheck": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false}
}

// poolService returns a service that runs pieces of stages, one call at a time.
func poolService(name string, callMS, itemMS, roomMB float64) document {
	s := plainService(name)
	s["segments"] = document{"slots": 1, "queue": 2, "batch": 8, "callMs": callMS, "itemMs": itemMS, "headroomMb": roomMB, "handleS": 4.0, "bandwidthMbps": 10000}
	return s
}
