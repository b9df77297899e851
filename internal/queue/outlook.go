package queue

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds of what a host remembers of the queues' words.
const (
	maxOutlooks = 4096
	// outlookLimit is the age after which a queue's word is no longer used.
	outlookLimit = time.Second
)

// outlookKey names a kind of ask for which queues say how long it would wait.
type outlookKey struct {
	Pool, Stage, Pipeline, Workspace string
	Priority                         int
}

func outlookKeyOf(a *Ask) outlookKey {
	return outlookKey{Pool: a.Pool, Stage: a.Stage, Pipeline: a.Pipeline, Workspace: a.Workspace, Priority: a.Priority}
}

// Outlook is what is known of an ask before it is made.
type Outlook struct {
	// Wait is the predicted time in the queue.
	Wait time.Duration
	// Over says that the workspace is beyond its share of the queue.
	Over bool
	// Least is a time below which only one in ten such attempts stayed, zero if
	// unknown.
	Least time.Duration
}

type heardOutlook struct {
	wait time.Duration
	over bool
	at   time.Time
}

// hear keeps the queue's word on the next ask of the kind of a.
func (d *Dispatcher) hear(a *Ask, x decision) {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.outlooks == nil {
		d.outlooks, _ = lru.New[outlookKey, heardOutlook](maxOutlooks) // fails only for a size below one
	}
	d.outlooks.Add(outlookKeyOf(a), heardOutlook{wait: x.wait, over: x.over, at: now})
}

// Outlook returns what is known of an ask like a. Its priority counts, its
// deadline does not.
func (d *Dispatcher) Outlook(a *Ask) Outlook {
	now := d.Clock.Now()
	out := Outlook{}
	if e := d.work.estimate(workKeyOf(a)); e.known() {
		out.Least = e.low()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.outlooks == nil {
		return out
	}
	h, ok := d.outlooks.Get(outlookKeyOf(a))
	if !ok || now.Sub(h.at) > outlookLimit {
		return out
	}
	out.Wait, out.Over = h.wait, h.over
	return out
}
