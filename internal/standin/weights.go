package standin

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Path and parameter of the weight store.
const (
	WeightsPath = "/weights"
	ModelParam  = "Model"
)

// weightChunk is the number of bytes that a loader gets at once, so that
// loaders at the same time share the rate.
const weightChunkBytes = 16 << 20

// WeightStore holds the weights of models, all of one size, and gives them out
// at a bounded rate. The body of an answer is not the weights but their size.
// Exported fields are set before the first request.
type WeightStore struct {
	// ModelBytes is the size of a model; zero is 1 GiB.
	ModelBytes int64
	// BytesPerSecond is the rate of all loads together; zero is 1 GiB/s.
	BytesPerSecond int64

	mu      sync.Mutex
	limiter *rate.Limiter
	faults  WeightFaults
	loads   int
}

// WeightFaults are the ways in which the weight store misbehaves.
type WeightFaults struct {
	Down bool
	Slow time.Duration
}

// WeightStatus is what the weight store tells at its control path.
type WeightStatus struct {
	// Loads counts the loads that came to their end.
	Loads int
}

const defaultWeightBytes = 1 << 30

// SetFaults replaces the faults.
func (s *WeightStore) SetFaults(f WeightFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

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

// ServeHTTP answers loads and control messages.
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
