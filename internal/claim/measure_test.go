package claim

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
)

// foldRecords returns a claim and an outcome for each of n keys.
func foldRecords(n int) []platform.Record {
	var out []platform.Record
	for i := range n {
		at := foldEpoch.Add(time.Duration(i) * time.Millisecond)
		r := Request{Workspace: "W", Key: keyMadeAt(at), Digest: fmt.Sprintf("%064x", i), AttemptID: fmt.Sprintf("%036d", i), Until: at.Add(6 * time.Second)}
		c, _ := newEntry(ClaimKind, r.AttemptID, r)
		o, _ := newEntry(OutcomeKind, r.AttemptID, OutcomeRecord{r.Workspace, r.Key, r.AttemptID, Outcome{Stored: true, Message: "done"}})
		out = append(out, platform.Record{Offset: platform.Offset(2*i + 1), At: at, Entry: c}, platform.Record{Offset: platform.Offset(2*i + 2), At: at, Entry: o})
	}
	return out
}

// BenchmarkFold folds a claim and its outcome per operation, and reports the
// memory of a key without its answer.
func BenchmarkFold(b *testing.B) {
	records := foldRecords(b.N)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	t := &Table{}
	for i := range records {
		t.Apply(&records[i])
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/key")
	runtime.KeepAlive(t)
	runtime.KeepAlive(records)
}

// TestBatching sends claims to one partition for ten seconds at each of several
// rates and checks that appends are no more frequent than BatchInterval allows.
func TestBatching(t *testing.T) {
	for _, perSecond := range []int{5, 20, 50, 100, 200} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, []time.Duration{0})
			defer c.close()
			time.Sleep(time.Second)
			h := c.hosts[0].holder
			stats := h.Stats
			p := h.partition(0, time.Now())
			var wg sync.WaitGroup
			const seconds = 10
			for i := range perSecond * seconds {
				r := Request{Workspace: "W", Key: c.key(fmt.Sprint(i)), Digest: "d", AttemptID: fmt.Sprint("m", i), Until: time.Now().Add(5 * time.Second)}
				e, _ := newEntry(ClaimKind, r.AttemptID, r)
				q := &question{kind: ClaimKind, request: r, entry: e, deadline: r.Until, reply: make(chan questionReply, 1)}
				wg.Go(func() {
					p.questions <- q
					<-q.reply
				})
				time.Sleep(time.Second / time.Duration(perSecond))
			}
			wg.Wait()
			appends := float64(stats.Appends.Count()) / seconds
			t.Logf("%d claims/s: %.1f appends/s, %.1f records per append", perSecond, appends, float64(stats.Records.Count())/float64(stats.Appends.Count()))
			if limit := float64(time.Second/BatchInterval) + 1; appends > limit {
				t.Errorf("%.1f appends/s, BatchInterval allows %.1f", appends, limit)
			}
		})
	}
}
