package host

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/lease"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/order"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// takeoverTime covers the expiry of a dead holder's lease, the wait of the next
// holder and some reviews.
const takeoverTime = 2*lease.Term + order.MaxOrderTime + 30*time.Second

// TestHostsOrderDeclaredModels declares a model that an engine lacks, kills the
// host that ordered it and declares another model. Each model is ordered by the
// holder at that time, and never by an earlier holder after a later one.
func TestHostsOrderDeclaredModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := &link.Memory{Delay: time.Millisecond}
		logAddr := netip.MustParseAddrPort("10.0.1.1:80")
		target := declaration.Target{Name: "e1", Pool: "P", Addr: netip.MustParseAddrPort("10.0.2.1:80"), Slots: 1}
		engine := &standin.Engine{Models: []string{"m0"}}
		engine.Name = target.Name
		serve(ctx, t, m, logAddr, &standin.Log{})
		serve(ctx, t, m, target.Addr, engine)
		operator := platform.NewClient(m.Process(netip.MustParseAddr("10.0.3.1")), logAddr, logAddr)
		base := declareModels(ctx, t, operator, target, 0, "m0", "m1")
		hosts, done := map[string]context.CancelFunc{}, map[string]chan error{}
		for i := 1; i <= 2; i++ {
			name := fmt.Sprintf("h%d", i)
			hosts[name], done[name] = startHost(ctx, t, m, i, logAddr)
		}
		time.Sleep(takeoverTime)
		members := peer.NewMembers([]peer.Host{{Name: "h1"}, {Name: "h2"}})
		holder := members.Holder(lease.ShardName(lease.ShardOf(target.Name))).Name
		hosts[holder]()
		<-done[holder]
		declareModels(ctx, t, operator, target, base, "m0", "m1", "m2")
		time.Sleep(takeoverTime)
		cancel()
		for name, end := range done {
			if name != holder {
				<-end
			}
		}
		var got []string
		for _, o := range engine.Orders() {
			if o.Stale {
				t.Errorf("a stale order for %s was accepted", o.Order.Model)
			}
			got = append(got, o.Order.Model)
		}
		if diff := cmp.Diff([]string{"m1", "m2"}, got); diff != "" {
			t.Errorf("models ordered (-want +got):\n%s", diff)
		}
	})
}

// declareModels publishes the target with models and returns the offset of the
// change.
func declareModels(ctx context.Context, t *testing.T, operator *platform.Client, target declaration.Target, base platform.Offset, models ...string) platform.Offset {
	target.Models = models
	text, err := json.Marshal(declaration.Section{Pools: []declaration.Pool{{Name: "P"}}, Targets: []declaration.Target{target}})
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(declaration.Change{RuleVersion: 1, Section: "S", Base: int64(base), Text: text})
	if err != nil {
		t.Fatal(err)
	}
	entry := platform.Entry{ID: fmt.Sprint(len(models)), Kind: section.ChangeKind, Data: data}
	offset, err := operator.Append(ctx, platform.ConfigStream, []platform.Entry{entry})
	if err != nil {
		t.Fatal(err)
	}
	return offset
}

// startHost starts host i of two. It returns the function that stops the host and
// the channel that receives the result of Run.
func startHost(ctx context.Context, t *testing.T, m *link.Memory, i int, logAddr netip.AddrPort) (context.CancelFunc, chan error) {
	addr := func(i int, port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), port)
	}
	s := &settings.Settings{
		Name: fmt.Sprintf("h%d", i), CallerAddr: addr(i, 80), PeerAddr: addr(i, 81), LogAddr: logAddr,
		Peers: []settings.Peer{{Name: fmt.Sprintf("h%d", 3-i), Addr: addr(3-i, 81)}},
	}
	s.SetDefaults()
	h, err := New(s, m.Process(s.CallerAddr.Addr()), &clock.Service{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	return cancel, done
}
