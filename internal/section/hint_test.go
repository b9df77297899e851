package section

import (
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"github.com/google/go-cmp/cmp"
)

// TestHint checks that a host that can't read the log has the offset reported by
// a peer once hintGrace is over, without waiting for its next probe.
func TestHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(2)
		defer cl.close()
		editor := cl.client(editorsAddr)
		defer editor.HTTP.CloseIdleConnections()
		time.Sleep(2500 * time.Millisecond)
		// fetched appends a record, notifies host 1 of it and returns the offset at
		// host 0 and the offsets at host 1 before and after hintGrace.
		fetched := func() []platform.Offset {
			e := platform.Entry{ID: "x", Kind: "Other"}
			cl.append(editor, e, 1)
			synctest.Wait()
			time.Sleep(5 * time.Millisecond)
			at := cl.hosts[0].follower.Offset()
			before := cl.hosts[1].follower.Offset()
			cl.hosts[1].follower.NotifyPeerOffset(cl.hosts[0].self, at)
			time.Sleep(hintGrace + 10*time.Millisecond)
			return []platform.Offset{at, before, cl.hosts[1].follower.Offset()}
		}
		got := [][]platform.Offset{fetched()}
		cl.cutLog(1, true)
		got = append(got, fetched())
		if diff := cmp.Diff([][]platform.Offset{{1, 1, 1}, {2, 1, 2}}, got); diff != "" {
			t.Errorf("offsets at host 0, at host 1 before and after a hint (-want +got):\n%s", diff)
		}
	})
}
