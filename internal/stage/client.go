package stage

import (
	"context"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/journal"
	"berylswitch.example/berylswitch/internal/peer"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// rpcName is the name of the batcher's RPC service.
const rpcName = "Stage"

// Times of the client.
const (
	// pingInterval is the time between two pings of a holder that has jobs of this
	// host; pingTimeout bounds each. A holder is lost after maxMissedPings pings
	// without an answer, since a single lost packet delays an answer by more than
	// pingTimeout.
	pingInterval   = 250 * time.Millisecond
	pingTimeout    = 350 * time.Millisecond
	maxMissedPings = 2
	// skipTime is how long a holder is skipped after it stopped answering.
	skipTime = 3 * time.Second
	// maxMoves is the number of holders that a job is sent to before this host
	// forms its calls itself. It also does so once maxMoveTime has passed since
	// the first holder was given up.
	maxMoves    = 16
	maxMoveTime = time.Second
	// estimateLifetime is how long a wait estimate is valid.
	estimateLifetime = 600 * time.Millisecond
	// notifyTimeout bounds a notification, whose outcome nothing waits for.
	notifyTimeout = time.Second
)

// Members provides the hosts among which the holder of a service is picked.
type Members interface {
	Members() *peer.Members
}

// Client runs jobs at the holders of their services. Exported fields are set
// before Run.
type Client struct {
	Clock   *clock.Service
	Log     *zap.Logger
	Self    string
	Members Members
	Peers   *peer.Caller
	Batcher *Batcher
	// Admission is how this host admits requests. With ForecastAdmission and
	// ReservationAdmission its heartbeats list its open reservations.
	Admission Admission

	mu            sync.Mutex
	holders       map[string]*holderState
	waitEstimates map[string]receivedEstimate
	// upcoming is the number of pieces that earlier stages of this host's requests
	// will send, by service.
	upcoming map[string]int
	// reportedUpcoming is upcoming as last reported to the holders.
	reportedUpcoming map[string]int
	// open holds the reservations of admitted requests whose jobs have not been sent, by
	// ID.
	open map[string]openReservation
	// formerUntil holds the holders that don't know the call Reserve, by name, and when to
	// ask them again.
	formerUntil map[string]time.Time
	// withoutEstimate counts the requests that were admitted without an estimate, by service.
	withoutEstimate map[string]admissionCount
}

// Run runs j at the holder of its service and waits for the outcome. If the
// holder stops answering, j runs at the next one, and as a last resort at this
// host.
func (c *Client) Run(ctx context.Context, j Job) (Outcome, error) {
	start := c.Clock.Now()
	due, left, promise := j.Due, j.Left, j.Promise
	c.closeReservation(j.Reservation)
	sent := false
	var moved time.Time // when the first holder was given up
	for moves := 0; ; moves++ {
		if moves == 1 {
			moved = c.Clock.Now()
		}
		host := c.holderOf(j.Service)
		if moves >= maxMoves || moves > 0 && c.Clock.Since(moved) > maxMoveTime {
			host = peer.Host{Name: c.Self}
		}
		elapsed := c.Clock.Since(start)
		j.ID, j.Due, j.Left, j.Promise = uuid.NewString(), due-elapsed, left-elapsed, promise-elapsed
		var o Outcome
		var err error
		if host.Name == c.Self {
			o = c.Batcher.Submit(ctx, j)
		} else {
			o, err = c.runAt(ctx, host, j)
		}
		if err == nil && o.Fault == Moved {
			c.skip(host)
			continue
		}
		if err == nil {
			o.Sent = o.Sent || sent
			c.storeEstimates(map[string]Outlook{j.Service: o.Outlook})
			return o, nil
		}
		sent = true
		if ctx.Err() != nil {
			return Outcome{Fault: Cancelled, Sent: true}, context.Cause(ctx)
		}
		c.Log.Warn("holder of a service lost", zap.String("Service", j.Service), zap.String("Holder", host.Name),
			zap.String("RequestID", j.RequestID), zap.Int("Stage", j.Stage), journal.Error(err))
		c.markLost(host, err)
	}
}

// runAt runs j at host and returns when host replies or is lost, or ctx ends. It
// sends j again if the connection breaks; the batcher knows j by its ID.
func (c *Client) runAt(ctx context.Context, host peer.Host, j Job) (Outcome, error) {
	lost := c.addJob(host)
	defer c.removeJob(host)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-lost:
			cancel()
		case <-callCtx.Done():
		}
	}()
	var o *Outcome
	err := retryOnce(callCtx, func() error {
		o = &Outcome{}
		return c.Peers.Call(callCtx, host.Addr, rpcName+".Run", &j, o)
	})
	if err == nil {
		return *o, nil
	}
	if ctx.Err() != nil {
		go c.notify(host, "Cancel", &j.ID)
	}
	return Outcome{}, err
}

// Free frees results through the batcher that accounts for their memory or, if
// its host is gone, through the present holder of their service.
func (c *Client) Free(results []Result) {
	members := c.Members.Members()
	byHost := map[peer.Host][]Result{}
	for _, r := range results {
		host, ok := members.Find(r.Former)
		if !ok {
			host = c.holderOf(r.Service)
		}
		byHost[host] = append(byHost[host], r)
	}
	for host, results := range byHost {
		if host.Name == c.Self {
			c.Batcher.Free(results)
			continue
		}
		go c.notify(host, "Free", &results)
	}
}

func (c *Client) notify(host peer.Host, method string, args any) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if err := c.Peers.Call(ctx, host.Addr, rpcName+"."+method, args, &Empty{}); err != nil {
		c.Log.Info("failed to notify holder", zap.String("Holder", host.Name), zap.String("Method", method), journal.Error(err))
	}
}
