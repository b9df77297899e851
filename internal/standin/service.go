package standin

import (
	"net/http"

	"berylswitch.example/berylswitch/internal/contract"
)

// Service simulates a plain service whose calls are not idempotent, such as a
// booking service or a ledger. It executes a repeated call again and counts it:
// if Runs is above one for a key, a booking was made twice. Exported fields are
// set before the first request.
type Service struct {
	Worker
	// NoAsk disables the query whether a key ran; the service answers it with 404.
	NoAsk bool
}

// ServeHTTP handles the same requests as Worker, except for AskPath with NoAsk.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.NoAsk && r.URL.Path == contract.AskPath {
		http.NotFound(w, r)
		return
	}
	s.Worker.ServeHTTP(w, r)
}

// DuplicatedKeys returns the keys that ran more than once.
func (s *Service) DuplicatedKeys() []string {
	var keys []string
	for key, n := range s.Runs() {
		if n > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}
