package queue

import (
	"math"
	"sort"
	"time"
)

// BoardState is a copy of what a board knows, for operators.
type SchedulerState struct {
	Pool         string
	Shard        int
	WaitingShort int // waiting tickets by class
	WaitingLong  int
	Typical      time.Duration // typical work of the pool at speed one
	Targets      []TargetState
}

// TargetState is what a board knows of one target.
type TargetState struct {
	Target     string
	Slots      int
	Held       int
	HeldByLong int // held by long work
	// Speed is relative to the pool's predicted work, Ratio the present speed
	// over the target's own past, relative to the shard's median.
	Speed float64
	Ratio float64
}

// Held returns the boards that this host keeps for others.
func (d *Dispatcher) HeldSchedulers() []SchedulerState {
	d.holder.mu.Lock()
	defer d.holder.mu.Unlock()
	var out []SchedulerState
	for k, b := range d.holder.schedulers {
		s := b.state()
		s.Shard = k.Shard
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Pool < out[j].Pool || (out[i].Pool == out[j].Pool && out[i].Shard < out[j].Shard)
	})
	return out
}

func (b *scheduler) state() SchedulerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := SchedulerState{Pool: b.pool, WaitingShort: len(b.shortQueue), WaitingLong: len(b.longQueue), Typical: b.predictor.typical(b.pool).median()}
	for _, s := range b.targets {
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
