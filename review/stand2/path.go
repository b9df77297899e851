package main

func init() { cases["path"] = runPath }

// runPath sends requests whose path begins with two slashes to a route for all paths of its
// host. The rule is UNASKED: a worker runs a request with another path than the client's.
func runPath(b *bench) (bool, error) {
	if err := b.configure(7, []document{plainRoute("plain", "/", "unsafe", "plain", 5000, 1000)}, []document{plainService("plain")}); err != nil {
		return false, err
	}
	p := &pathLog{runs: map[string]string{}}
	if err := b.startWorker(&worker{service: "plain", slots: 16, work: p.run}); err != nil {
		return false, err
	}
	hosts, err := b.startHosts(2, smallMachine)
	if err != nil {
		return false, err
	}
	changed := 0
	for i := range 4 {
		target := "/orders/7/cancel?now=1"
		if b.trouble {
			target = "/" + target
		}
		c := &call{id: newID(), method: "POST", host: "jepu9.example", target: target, deadline: 5e9, body: "order"}
		a := b.send(hosts[i%2], c)
		if got, ran := p.path(c.id); ran && got != target {
			b.note("the client sent the path %s, the worker ran %s; the answer was %d", target, got, a.status)
			changed++
		}
	}
	b.note("requests that ran with another path: %d", changed)
	return changed > 0, nil
}
