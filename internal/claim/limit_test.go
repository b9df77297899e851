package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"github.com/google/go-cmp/cmp"
)

// TestTableFull checks that a table limited to two keys refuses a third claim
// without appending it, still answers for known keys, and accepts outcomes.
func TestTableFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, []time.Duration{0})
		defer c.close()
		log := platform.NewClient(c.net.Process(c.hosts[0].addr.Addr()), logAddr, logAddr)
		h := &Holder{Clock: c.hosts[0].clock, Log: log, Members: c.hosts[0].members, Self: "h0", Partitions: 1, Limit: 2, Stats: NewStats()}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- h.Run(ctx) }()
		time.Sleep(time.Second)
		keys := map[string]string{"a": c.key("a"), "b": c.key("b"), "c": c.key("c")}
		ask := func(kind string, key, attempt string) string {
			r := Request{Workspace: "V", Key: keys[key], Digest: "d", AttemptID: attempt, Until: time.Now().Add(5 * time.Second)}
			reply := h.Ask(&Question{Kind: kind, Request: r, Wait: time.Second})
			if reply.Kind == RefusedReply {
				return reply.Refusal.Code.String()
			}
			return fmt.Sprint(reply.Kind)
		}
		got := []string{
			ask(ClaimKind, "a", "1"), ask(ClaimKind, "b", "2"), ask(ClaimKind, "c", "3"),
			ask(ClaimKind, "a", "4"), ask(OutcomeKind, "a", "1"), ask(ClaimKind, "c", "5"),
		}
		want := []string{fmt.Sprint(FirstReply), fmt.Sprint(FirstReply), "TableFull", "InProgress", fmt.Sprint(DoneReply), "TableFull"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("replies (-want +got):\n%s", diff)
		}
		if records := h.Stats.Records.Count(); records != 3 {
			t.Errorf("%d records were appended, want the 2 claims and the outcome", records)
		}
		cancel()
		<-done
		log.HTTP.CloseIdleConnections()
	})
}
