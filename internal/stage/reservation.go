package stage

import "time"

// Reservation asks the batcher of a service for the capacity that one stage of a
// request will need. Its times are remaining ones as of the time of sending.
type Reservation struct {
	// ID is unique across all hosts; the Job that takes up the reservation names it.
	ID        string
	RequestID string
	Service   string
	Stage     int
	Pieces    int
	// PieceBytes is the approximate size of one result.
	PieceBytes int64
	Workspace  string
	Route      string
	// Rank and Worth are those of the job.
	Rank  int
	Worth float64
	// Start is the time until the job is expected, Due that until its results lose
	// worth, End that until they must be there for the request to be served. A reservation
	// whose job has not come by End expires.
	Start, Due, End time.Duration
}

// Answer is the answer to a Reservation.
type Answer struct {
	Granted bool
	// Forecast is the outlook for a reservation that was recorded without a decision.
	Forecast Outlook
	// Wait is the time after which a refused reservation could be granted if nothing
	// else was asked for. Spread is the time after that over which capacity comes free
	// for what was refused.
	Wait, Spread time.Duration
}

// ReserveArgs are reservations of one request at one holder. All of them are granted or
// recorded, or none.
type ReserveArgs struct {
	Host string
	// Record asks to record the reservations without a decision, which the host makes by
	// the forecasts in the answers. It gives back those of a request that it refuses.
	Record       bool
	Reservations []Reservation
}

// ReserveReply holds the answers, in the order of the reservations, and the wait
// estimates of their services.
type ReserveReply struct {
	Answers  []Answer
	Outlooks map[string]Outlook
}

// ReleaseArgs name reservations whose jobs will not come.
type ReleaseArgs struct {
	Host string
	IDs  []string
}

// Bounds of reservations: maxReservations is that of all hosts at one batcher, maxPerCall
// that of one call.
const (
	maxReservations = 1 << 14
	maxPerCall      = 64
)

// reservation is a Reservation that has been granted or recorded.
type reservation struct {
	Reservation
	host      string
	grantedAt time.Time
	// start, due and end are the times at which Start, Due and End end. They count from the
	// queue's epoch, so that a decision, which looks at those of all reservations, only
	// subtracts durations.
	start, due, end time.Duration
	// charge was counted as use of the workspace's share. It is nil for a reservation that
	// a heartbeat of its host listed: the batcher that granted it has counted it.
	charge *charge
	// forecast is the answer to the call that recorded it.
	forecast Outlook
	// index is the position in the queue's reserved.
	index int
}

// valid reports whether a host of this version can have sent r.
func (r *Reservation) valid() bool {
	return r.ID != "" && r.Pieces >= 1 && r.Pieces <= maxPieces && r.PieceBytes >= 0 && r.Start >= 0 && r.Start <= maxStart
}

// maxStart bounds the time until the job of a reservation is expected.
const maxStart = time.Hour

// reserve decides on the reservations of one request and returns the answers.
func (b *Batcher) reserve(a ReserveArgs, remote bool) (ReserveReply, error) {
	if len(a.Reservations) > maxPerCall {
		return ReserveReply{}, Error.New("%d reservations in one call, at most %d are allowed", len(a.Reservations), maxPerCall)
	}
	for i := range a.Reservations {
		if !a.Reservations[i].valid() {
			return ReserveReply{}, Error.New("invalid reservation of stage %d of request %s", a.Reservations[i].Stage, a.Reservations[i].RequestID)
		}
	}
	reply, retired := ReserveReply{}, false
	err := b.do(func() {
		if retired = b.retired && remote; !retired {
			reply = b.reserveAll(a)
		}
	})
	if retired {
		err = errRetired
	}
	return reply, err
}

// reserveAll grants all reservations of a or none.
func (b *Batcher) reserveAll(a ReserveArgs) ReserveReply {
	now := b.Clock.Now()
	b.heard[a.Host] = now
	reply := ReserveReply{Answers: make([]Answer, len(a.Reservations)), Outlooks: map[string]Outlook{}}
	all := true
	for i, r := range a.Reservations {
		if a.Record {
			reply.Answers[i] = b.record(a.Host, r, now)
		} else {
			reply.Answers[i] = b.decide(a.Host, r, now)
		}
		all = all && reply.Answers[i].Granted
	}
	for i, r := range a.Reservations {
		if !all && reply.Answers[i].Granted {
			b.giveBack(r.ID, now)
			b.count("GivenBack")
		}
		if _, ok := reply.Outlooks[r.Service]; !ok {
			reply.Outlooks[r.Service] = b.queue(r.Service).recent.outlook
		}
	}
	return reply
}
