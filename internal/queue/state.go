package queue

import (
	"math"
	"sort"
	"time"
)

// BoardState is a copy of what a board knows, for operators.
type BoardState struct {
	Pool    string
	Shard   int
	Short   int // waiting tickets by class
	Long    int
	Typical time.Duration // typical work of the pool at speed one
	Targets []TargetState
}

// TargetState is what a board knows of one target.
type TargetState struct {
	Target string
	Slots  int
	Held   int
	Long   int // held by long work
	// Speed is relative to the pool's predicted work, Ratio the present speed
	// over the target's own past, relative to the shard's median.
	Speed float64
	Ratio float64
}

// Held returns the boards that this host keeps for others.
func (d *Dispatcher) Held() []BoardState {
	d.holder.mu.Lock()
	defer d.holder.mu.Unlock()
	var out []BoardState
	for k, b := range d.holder.boards {
		s := b.state()
		s.Shard = k.Shard
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Pool < out[j].Pool || (out[i].Pool == out[j].Pool && out[i].Shard < out[j].Shard)
	})
	return out
}

func (b *board) state() BoardState {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := BoardState{Pool: b.pool, Short: len(b.short), Long: len(b.long), Typical: b.work.typical(b.pool).median()}
	for _, s := range b.targets {
		t := TargetState{Target: s.target.Name, Slots: s.slots, Held: len(s.leases), Speed: math.Exp(s.past), Ratio: s.ratio}
		for _, l := range s.leases {
			if l.long {
				t.Long++
			}
		}
		out.Targets = append(out.Targets, t)
	}
	return out
}
