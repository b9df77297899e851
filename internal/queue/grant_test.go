package queue

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/peer"
	"berylswitch.example/berylswitch/internal/target"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// countingNetwork counts the bytes of its connections in both directions.
type countingNetwork struct {
	link.TCP
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (n *countingNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c, err := n.TCP.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{c, &n.bytes}, nil
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkGrant measures a grant and its completion over loopback: the processor
// time of both sides, and the bytes in both directions.
func BenchmarkGrant(b *testing.B) {
	network := &countingNetwork{}
	l, err := network.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	hosts := []peer.Host{{Name: "holder", Addr: addr}}
	holder, entry := newBenchDispatcher("holder", hosts, network), newBenchDispatcher("entry", hosts, network)
	s := rpc.NewServer()
	if err := s.RegisterName(holder.Service()); err != nil {
		b.Fatal(err)
	}
	go (&peer.Server{RPC: s}).Serve(l)
	link := entry.link(hosts[0])
	ctx := context.Background()
	b.ReportAllocs()
	for i := range b.N {
		a := SlotRequest{AttemptID: strconv.Itoa(i) + "-0123456789012345678901234567890", Workspace: "north", Pipeline: "Advice", Stage: "answer", Pool: "P", PromptBytes: 300, Deadline: time.Now().Add(time.Second)}
		reply, err := entry.requestGrant(ctx, link, entry.grantArgs(&a, shardKey{Pool: "P"}))
		if err != nil || reply.Target == "" {
			b.Fatal(err, reply)
		}
		entry.sendCompletion(link, Completion{Shard: shardKey{Pool: "P"}, AttemptID: a.AttemptID, Outcome: Outcome{Took: 100 * time.Millisecond}})
	}
	b.ReportMetric(float64(network.bytes.Load())/float64(b.N), "bytes/grant")
	entry.Caller.Close()
}

func newBenchDispatcher(name string, hosts []peer.Host, n link.Network) *Dispatcher {
	c := &clock.Service{}
	r := &target.Registry{Self: name, Clock: c}
	view := &declaration.View{Targets: map[string]*declaration.Target{}}
	for i := range shardSize {
		t := "target-" + strconv.Itoa(i)
		view.Targets[t] = &declaration.Target{Name: t, Pool: "P", Slots: 8}
	}
	r.Publish(view)
	x := &peer.Exchange{Self: peer.Host{Name: name}, Clock: c}
	return &Dispatcher{Clock: c, Targets: r, Exchange: x, Caller: &peer.Caller{Net: n}, Policy: SharedQueue{}, Stats: NewStats(), Rand: rand.New(rand.NewPCG(1, 2))}
}
