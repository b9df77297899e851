package standin

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Path and query parameter of the weight store.
const (
	WeightsPath = "/weights"
	ModelParam  = "Model"
)

// weightChunkBytes is the number of bytes granted to a load at a time, so that
// concurrent loads share the rate.
const weightChunkBytes = 16 << 20

// WeightStore simulates a store of model weights, all of one size, that serves
// them at a limited rate. A response body holds the size of the weights, not the
// weights themselves. Exported fields are set before the first request.
type WeightStore struct {
	// ModelBytes is the size of each model; zero means 1 GiB.
	ModelBytes int64
	// BytesPerSecond is the rate of all loads together; zero means 1 GiB/s.
	BytesPerSecond int64

	mu      sync.Mutex
	limiter *rate.Limiter
	faults  WeightFaults
	loads   int
}

// WeightFaults are the faults that the weight store can inject. They are its
// control message.
type WeightFaults struct {
	// Down refuses every load.
	Down bool
	// Slow is added to each load.
	Slow time.Duration
}

// WeightStatus is the weight store's answer at its control path.
type WeightStatus struct {
	// Loads counts the completed loads.
	Loads int
}

const defaultWeightBytes = 1 << 30

// SetFaults replaces the faults.
func (s *WeightStore) SetFaults(f WeightFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// state sets the defaults on first use and returns the faults and the limiter.
func (s *WeightStore) state() (WeightFaults, *rate.Limiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		if s.ModelBytes == 0 {
			s.ModelBytes = defaultWeightBytes
		}
		if s.BytesPerSecond == 0 {
			s.BytesPerSecond = defaultWeightBytes
		}
		s.limiter = rate.NewLimiter(rate.Limit(s.BytesPerSecond), weightChunkBytes)
	}
	return s.faults, s.limiter
}

// ServeHTTP handles loads and control messages.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ControlPath {
		s.serveControl(w, r)
		return
	}
	faults, limiter := s.state()
	pause(r, faults.Slow)
	if faults.Down {
		replyUnavailable(w)
		return
	}
	for left := s.ModelBytes; left > 0; left -= weightChunkBytes {
		if limiter.WaitN(r.Context(), int(min(left, weightChunkBytes))) != nil {
			return
		}
	}
	s.mu.Lock()
	s.loads++
	s.mu.Unlock()
	writeJSON(w, s.ModelBytes)
}

func (s *WeightStore) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f WeightFaults
		if !readJSON(w, r, maxControlBytes, &f) {
			return
		}
		s.SetFaults(f)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, WeightStatus{Loads: s.loads})
}
