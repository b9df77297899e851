package gateway

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"berylswitch.example/berylswitch/internal/catalog"
	"github.com/google/go-cmp/cmp"
)

// TestPriorityForTargets expects both targets of a resumed stream to be told the priority
// of the route, and of the workspace if it has one. Without the setting, or for a request
// without a prompt, which goes to no engine, nothing is told. It guards against engines that
// treat all requests alike, and against a resumed stream that loses its priority.
func TestPriorityForTargets(t *testing.T) {
	for _, c := range []struct {
		name, parts, key string
		send             bool
		want             []string
	}{
		{"route", "a,b", "k0", true, []string{"3", "3"}},
		{"workspace", "a,b", "k1", true, []string{"1", "1"}},
		{"not set", "a,b", "k0", false, []string{"", ""}},
		{"no prompt", "", "k0", true, []string{"", ""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var got []string
				breaks := func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					got = append(got, r.Header.Get("Priority"))
					mu.Unlock()
					events("t", 2)(w, r)
				}
				routes := route(catalog.Stream, func(r *catalog.Route) { r.Resumable, r.Priority = true, 3 })
				r := prepareFixture(t, routes, breaks, breaks)
				r.feed.table.Workspaces = []*catalog.Workspace{{Name: "w0", Keys: []string{"k0"}}, {Name: "w1", Keys: []string{"k1"}, HasPriority: true, Priority: 1}}
				r.host.Settings.SendPriorities = c.send
				r.start()
				defer r.close()
				r.post("/a/b", "Wait", "5000", "Key", c.key, "Parts", c.parts)
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("priorities told (-want +got):\n%s", diff)
				}
			})
		})
	}
}
