// Package order brings targets to the state that the declaration asks for: it
// compares what a target reports with what is declared and sends orders until
// both agree. Orders are idempotent, so a lost answer costs a second order and
// nothing else. Only the holder of the lease of a target's shard sends any.
//
// A target that checks fencing numbers refuses orders of an earlier holder. For
// one that doesn't, a new holder waits MaxOrderTime before its first order,
// after which no order of the earlier holder can be under way.
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

// The times of an order.
const (
	// sendTimeout bounds an exchange with a target; bytes of an order that were
	// not delivered by then are discarded with their connection.
	sendTimeout = 3 * time.Second
	// takeTime is the longest time from a target's receiving an order to its
	// taking effect.
	applyTime = 2 * time.Second
	// MaxOrderTime is the longest time from the sender's check of its lease to
	// the order's effect: sending, the undelivered bytes of a connection that is
	// given up, and taking.
	MaxOrderTime = 2*sendTimeout + applyTime
)

// Result says what became of an order.
type Result int

// The results of an order.
const (
	// NotSent means that the lease doesn't allow an order now.
	NotSent Result = iota
	// Taken means that the target takes the order.
	Taken
	// Superseded means that the target knows a later holder.
	Superseded
	// Lost means that the order may or may not have taken effect.
	Uncertain
)

// Sender sends orders under a lease. Exported fields are set before use.
type Sender struct {
	Clock *clock.Service
	Net   link.Network
}

// Send sends o to t under l. It checks the lease after the connection stands,
// directly before the first byte, and once more after the answer: an answer
// that comes after the lease has run out counts as lost.
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
	link.DiscardLate(conn, sendTimeout)
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

// allowed reports whether an order may go to t now.
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

// maxReplyBytes bounds a target's answer.
const maxReplyBytes = 64 << 10

func decodeReply(r *bufio.Reader) (*contract.OrderReply, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("order: %s", resp.Status)
	}
	reply := &contract.OrderReply{}
	return reply, json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxReplyBytes)).Decode(reply)
}
