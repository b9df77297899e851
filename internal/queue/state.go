package queue

import (
	"math"
	"sort"
	"time"
)

// SchedulerState is a copy of a scheduler's state, for operators.
type SchedulerState struct {
	Pool         string
	Shard        int
	WaitingShort int           // waiting tickets of short work
	WaitingLong  int           // waiting tickets of long work
	Typical      time.Duration // typical work of the pool at speed one
	Targets      []TargetState
}

// TargetState is a copy of a scheduler's state of one target.
type TargetState struct {
	Target     string
	Slots      int
	Held       int
	HeldByLong int // held by long work
	// Speed is the long-term speed relative to the pool's predicted work; Ratio is
	// the recent speed over the long-term one, relative to the shard's median.
	Speed float64
	Ratio float64
}

// HeldSchedulers returns the state of the schedulers of the shards that this host
// holds.
func (d *Dispatcher) HeldSchedulers() []SchedulerState {
	d.holder.mu.Lock()
	defer d.holder.mu.Unlock()
	var out []SchedulerState
	for k, s := range d.holder.schedulers {
		state := s.state()
		state.Shard = k.Shard
		out = append(out, state)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Pool < out[j].Pool || (out[i].Pool == out[j].Pool && out[i].Shard < out[j].Shard)
	})
	return out
}

func (sched *scheduler) state() SchedulerState {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	out := SchedulerState{Pool: sched.pool, WaitingShort: len(sched.shortQueue), WaitingLong: len(sched.longQueue), Typical: sched.predictor.typical(sched.pool).median()}
	for _, s := range sched.targets {
		t := TargetState{Target: s.target.Name, Slots: s.slots, Held: len(s.leases), Speed: math.Exp(s.longTermSpeed), Ratio: s.speedRatio}
		for _, l := range s.leases {
			if l.long {
				t.HeldByLong++
			}
		}
		out.Targets = append(out.Targets, t)
	}
	return out
}
