// Package order reconciles targets with the declaration: a Reconciler compares
// the report of a target with what is declared, and a Sender sends orders until
// both agree. Orders are idempotent, so a lost answer only costs a second order.
// Only the holder of the lease of a target's shard sends orders.
//
// A target that checks fencing numbers refuses orders from an earlier holder. For
// a target that doesn't, a new holder waits MaxOrderTime before its first order,
// after which no order from the earlier holder can be in flight.
// docs/design/leases.md derives that time.
package order

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/lease"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/uuid"
)

// Time limits of an order.
const (
	// sendTimeout limits an exchange with a target. Bytes of an order that are not
	// delivered by then are discarded with their connection.
	sendTimeout = 3 * time.Second
	// applyTime is the maximum time from a target's receipt of an order until the
	// order takes effect.
	applyTime = 2 * time.Second
	// MaxOrderTime is the maximum time from the sender's check of its lease until
	// the order takes effect: sendTimeout for the exchange, sendTimeout again for
	// the undelivered bytes of an abandoned connection, and applyTime.
	MaxOrderTime = 2*sendTimeout + applyTime
)

// Result is the result of an order.
type Result int

// The results of an order.
const (
	// NotSent means that no order was sent, usually because the lease doesn't allow
	// one now.
	NotSent Result = iota
	// Taken means that the target has accepted the order.
	Taken
	// Superseded means that the target knows a later holder of the lease.
	Superseded
	// Uncertain means that the order may or may not have taken effect.
	Uncertain
)

// Sender sends orders under a lease. Exported fields must be set before use.
type Sender struct {
	Clock *clock.Service
	Net   link.Network
}

// Send sends o to t under l. It checks the lease after the connection is
// established, directly before the first byte, and again after the answer: if the
// lease has expired by then, the result is Uncertain.
func (s *Sender) Send(ctx context.Context, l *lease.Lease, t *declaration.Target, o contract.Order) Result {
	o.ID, o.Target, o.Fence = uuid.NewString(), t.Name, int64(l.Fence)
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	request, err := encodeRequest(t, &o)
	if err != nil || !s.maySend(l, t) {
		return NotSent
	}
	conn, err := s.Net.Dial(ctx, t.Addr)
	if err != nil {
		return NotSent
	}
	defer conn.Close()
	link.SetDeliveryTimeout(conn, sendTimeout)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if !s.maySend(l, t) {
		return NotSent
	}
	if _, err := conn.Write(request); err != nil {
		return Uncertain
	}
	reply, err := decodeReply(bufio.NewReader(conn))
	switch {
	case err != nil || !l.Valid(s.Clock.Now()):
		return Uncertain
	case reply.Taken:
		return Taken
	case reply.Fence > o.Fence:
		return Superseded
	}
	return Uncertain
}

// maySend reports whether an order may be sent to t now.
func (s *Sender) maySend(l *lease.Lease, t *declaration.Target) bool {
	now := s.Clock.Now()
	if !t.ChecksFencing && now.Sub(l.Since) < MaxOrderTime {
		return false
	}
	return l.Valid(now)
}

func encodeRequest(t *declaration.Target, o *contract.Order) ([]byte, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+t.Addr.String()+contract.OrderPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Close = true
	var out bytes.Buffer
	err = req.Write(&out)
	return out.Bytes(), err
}

// maxReplyBytes limits the size of a target's answer.
const maxReplyBytes = 64 << 10

func decodeReply(r *bufio.Reader) (*contract.OrderReply, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("order: target answered %s", resp.Status)
	}
	reply := &contract.OrderReply{}
	return reply, json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxReplyBytes)).Decode(reply)
}
