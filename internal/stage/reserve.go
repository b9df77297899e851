package stage

import (
	"context"
	"errors"
	"maps"
	"net/rpc"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"go.uber.org/zap"
)

// Bounds of the reservations of a host.
const (
	// reserveTimeout bounds the calls for one request. Refusals must be early, and a
	// batcher usually replies within a few milliseconds.
	reserveTimeout = 150 * time.Millisecond
	// formerLifetime is how long a holder that doesn't know the call Reserve isn't asked
	// again. It may be replaced by one of this version at any time.
	formerLifetime = 5 * time.Second
	// maxWithoutEstimate is the number of requests that a host admits per
	// withoutEstimateWindow to a service of which it has no recent estimate. It is about
	// the rate of one host outside of load peaks.
	maxWithoutEstimate    = 4
	withoutEstimateWindow = time.Second
)

// Verdict is what became of one Reservation.
type Verdict struct {
	Answer
	// Replied reports whether the batcher replied. Without a reply the wait estimate has
	// to decide.
	Replied bool
	// Former reports whether the batcher is of a version that doesn't know the call, and
	// has to be told of later stages by AddUpcoming.
	Former bool
}

// openReservation is a reservation of an admitted request and the time of its admission.
type openReservation struct {
	Reservation
	at time.Time
}

// admissionCount is the number of requests admitted without an estimate since a time.
type admissionCount struct {
	since time.Time
	n     int
}

// Reserve asks the holders of the services for the reservations of one request, in
// parallel, one call each. The verdicts are in the order of rs. With ForecastAdmission the
// holders record the reservations without a decision.
func (c *Client) Reserve(ctx context.Context, rs []Reservation) []Verdict {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	verdicts := make([]Verdict, len(rs))
	byHost := map[peer.Host][]int{}
	for i := range rs {
		host := c.holderOf(rs[i].Service)
		byHost[host] = append(byHost[host], i)
	}
	var wg sync.WaitGroup
	for host, indices := range byHost {
		wg.Go(func() { c.reserveAt(ctx, host, rs, indices, verdicts) })
	}
	wg.Wait()
	return verdicts
}

// reserveAt asks host for the reservations with the given indices and sets their
// verdicts.
func (c *Client) reserveAt(ctx context.Context, host peer.Host, rs []Reservation, indices []int, verdicts []Verdict) {
	args := &ReserveArgs{Host: c.Self, Record: c.Admission == ForecastAdmission}
	for _, i := range indices {
		args.Reservations = append(args.Reservations, rs[i])
	}
	reply, err := c.callReserve(ctx, host, args)
	if err == nil && len(reply.Answers) != len(indices) {
		err = Error.New("%d answers to %d reservations", len(reply.Answers), len(indices))
	}
	if errors.Is(err, errFormerVersion) {
		c.refreshEstimates(ctx, host, args.Reservations)
		for _, i := range indices {
			verdicts[i].Former = true
		}
		return
	}
	if err != nil {
		c.Log.Info("no reply to a reservation", zap.String("Service", rs[indices[0]].Service), zap.String("Holder", host.Name),
			zap.String("RequestID", rs[indices[0]].RequestID), journal.Error(err))
		return
	}
	c.storeEstimates(reply.Outlooks)
	for k, i := range indices {
		verdicts[i] = Verdict{Answer: reply.Answers[k], Replied: true}
	}
}

// errFormerVersion is the error of a call that the holder doesn't know.
var errFormerVersion = errors.New("holder of a former version")

// callReserve calls Reserve at host. After a broken connection it calls once more, which
// is safe since a batcher grants a reservation that it has granted before.
func (c *Client) callReserve(ctx context.Context, host peer.Host, args *ReserveArgs) (*ReserveReply, error) {
	if host.Name == c.Self {
		reply, err := c.Batcher.reserve(*args, false)
		return &reply, err
	}
	if c.isFormer(host) {
		return nil, errFormerVersion
	}
	var reply *ReserveReply
	var failure rpc.ServerError // the error that the holder itself replied
	err := retryOnce(ctx, func() error {
		reply = &ReserveReply{}
		err := c.Peers.Call(ctx, host.Addr, rpcName+".Reserve", args, reply)
		if errors.As(err, &failure) {
			return nil
		}
		return err
	})
	switch {
	case err == nil && isUnknownMethod(failure):
		c.markFormer(host)
		return nil, errFormerVersion
	case err == nil && failure != "":
		// The holder is shutting down, or takes the reservations for invalid.
		return nil, failure
	}
	return reply, err
}

// isUnknownMethod reports whether net/rpc answered that the service has no such method.
func isUnknownMethod(err rpc.ServerError) bool {
	return err == "rpc: can't find method "+rpcName+".Reserve" || err == "rpc: can't find service "+rpcName+".Reserve"
}

// refreshEstimates asks a holder of a former version for the wait estimates of the
// reservations' services, unless there are recent ones. A host without jobs there gets none
// otherwise. Such a holder sends no estimate of a service for which nothing waits; it counts
// as no wait.
func (c *Client) refreshEstimates(ctx context.Context, host peer.Host, rs []Reservation) {
	missing := map[string]Outlook{}
	for _, r := range rs {
		if _, known := c.EstimateAge(r.Service); !known {
			missing[r.Service] = Outlook{}
		}
	}
	if len(missing) == 0 {
		return
	}
	estimates := map[string]Outlook{}
	if err := c.Peers.Call(ctx, host.Addr, rpcName+".Ping", &SignOfLife{Host: c.Self}, &estimates); err != nil {
		c.Log.Info("no wait estimate of a former version", zap.String("Holder", host.Name), journal.Error(err))
		return
	}
	maps.Copy(missing, estimates)
	c.storeEstimates(missing)
}

// isFormer reports whether host did not know the call recently.
func (c *Client) isFormer(host peer.Host) bool {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.formerUntil[host.Name].After(now)
}

func (c *Client) markFormer(host peer.Host) {
	c.Log.Info("holder of a former version takes no reservations", zap.String("Holder", host.Name))
	until := c.Clock.Now().Add(formerLifetime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.formerUntil == nil {
		c.formerUntil = map[string]time.Time{}
	}
	c.formerUntil[host.Name] = until
}

// EstimateAge returns the age of the wait estimate of service, and whether there is a
// recent one.
func (c *Client) EstimateAge(service string) (age time.Duration, known bool) {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	received, ok := c.waitEstimates[service]
	age = now.Sub(received.at)
	return age, ok && age <= estimateLifetime
}

// AdmitWithoutEstimate reports whether one more request may be admitted to a service of
// which this host has no recent estimate, and counts it. Without this bound such a host
// would admit everything, which in a load peak is far more than a pool can serve.
func (c *Client) AdmitWithoutEstimate(service string) bool {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withoutEstimate == nil {
		c.withoutEstimate = map[string]admissionCount{}
	}
	count := c.withoutEstimate[service]
	if now.Sub(count.since) >= withoutEstimateWindow {
		count = admissionCount{since: now}
	}
	if count.n >= maxWithoutEstimate {
		return false
	}
	count.n++
	c.withoutEstimate[service] = count
	return true
}

// Keep records the reservations of an admitted request. Heartbeats list them to their
// holders until their jobs are sent or they are given back.
func (c *Client) Keep(rs []Reservation) {
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[string]openReservation{}
	}
	for _, r := range rs {
		c.open[r.ID] = openReservation{r, now}
	}
}

// GiveBack gives back reservations whose jobs will not be sent. If the message is lost,
// the holder drops them when a later heartbeat doesn't list them, or at their latest end.
func (c *Client) GiveBack(rs []Reservation) {
	byHost := map[peer.Host][]string{}
	for _, r := range rs {
		c.closeReservation(r.ID)
		host := c.holderOf(r.Service)
		byHost[host] = append(byHost[host], r.ID)
	}
	for host, ids := range byHost {
		args := &ReleaseArgs{Host: c.Self, IDs: ids}
		switch {
		case host.Name == c.Self:
			if err := c.Batcher.release(*args); err != nil {
				c.Log.Info("failed to give back reservations", journal.Error(err))
			}
		case !c.isFormer(host):
			go c.notify(host, "Release", args)
		}
	}
}

// closeReservation removes an open reservation. The empty ID names none.
func (c *Client) closeReservation(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, id)
}

// openByService returns the open reservations with the times that remain, by service,
// and forgets those that are over. c.mu is held.
func (c *Client) openByService(now time.Time) map[string][]Reservation {
	var out map[string][]Reservation
	for id, r := range c.open {
		age := now.Sub(r.at)
		if age >= r.End {
			delete(c.open, id)
			continue
		}
		if out == nil {
			out = map[string][]Reservation{}
		}
		left := r.Reservation
		left.Start, left.Due, left.End = max(0, r.Start-age), r.Due-age, r.End-age
		out[r.Service] = append(out[r.Service], left)
	}
	return out
}

// openAt returns the open reservations of services that host holds. c.mu is held.
func (c *Client) openAt(host peer.Host, now time.Time) []Reservation {
	var out []Reservation
	for service, rs := range c.openByService(now) {
		if c.holderOfLocked(service, now).Name == host.Name {
			out = append(out, rs...)
		}
	}
	return out
}
