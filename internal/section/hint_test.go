package section

import (
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"github.com/google/go-cmp/cmp"
)

// TestHint holds that a host which the log leaves behind has what a peer told of
// once the grace is over, without waiting for its next probe.
func TestHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(2)
		defer w.close()
		editor := w.client(editorsAddr)
		defer editor.HTTP.CloseIdleConnections()
		time.Sleep(2500 * time.Millisecond)
		// fetched appends a record, tells host 1 of it and returns the offsets at
		// host 0 and, before and after the grace, at host 1.
		fetched := func() []platform.Offset {
			e := platform.Entry{ID: "x", Kind: "Other"}
			w.append(editor, e, 1)
			synctest.Wait()
			time.Sleep(5 * time.Millisecond)
			at := w.hosts[0].follower.Offset()
			before := w.hosts[1].follower.Offset()
			w.hosts[1].follower.NotifyPeerOffset(w.hosts[0].self, at)
			time.Sleep(hintGrace + 10*time.Millisecond)
			return []platform.Offset{at, before, w.hosts[1].follower.Offset()}
		}
		got := [][]platform.Offset{fetched()}
		w.cutLog(1, true)
		got = append(got, fetched())
		if diff := cmp.Diff([][]platform.Offset{{1, 1, 1}, {2, 1, 2}}, got); diff != "" {
			t.Errorf("offsets at host 0, at host 1 before and after a hint (-want +got):\n%s", diff)
		}
	})
}
