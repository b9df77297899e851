package lease

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"github.com/cockroachdb/datadriven"
)

var foldEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestFold folds scripted records. Times are in seconds after foldEpoch. Unless
// sent is given, a record was sent at the time at which it reached the log.
func TestFold(t *testing.T) {
	datadriven.Walk(t, "testdata/fold", func(t *testing.T, path string) {
		var table Table
		offset := platform.Offset(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at, sent, shard int
			var holder string
			d.MaybeScanArgs(t, "at", &at)
			sent = at
			d.MaybeScanArgs(t, "sent", &sent)
			d.MaybeScanArgs(t, "shard", &shard)
			d.MaybeScanArgs(t, "holder", &holder)
			kind := map[string]string{"acquire": AcquireKind, "renew": RenewKind, "release": ReleaseKind}[d.Cmd]
			if kind == "" {
				t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
			}
			data, err := json.Marshal(Record{Holder: holder, Shards: []int{shard}, SentAt: foldEpoch.Add(time.Duration(sent) * time.Second)})
			if err != nil {
				t.Fatal(err)
			}
			offset++
			r := platform.Record{Offset: offset, At: foldEpoch.Add(time.Duration(at) * time.Second), Entry: platform.Entry{Kind: kind, Data: data}}
			_, got := table.Apply(&r)
			if shard < 0 || shard >= Shards {
				return fmt.Sprintf("got %v", got)
			}
			s := table.State(shard)
			return fmt.Sprintf("got %v; held by %q, fence %d, expires %d", got, s.Holder, s.Fence, int(s.Expires.Sub(foldEpoch)/time.Second))
		})
	})
}
