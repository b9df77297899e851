package standin

import (
	"net/http"

	"berylswitch.example/berylswitch/internal/contract"
)

// Service is a plain service with calls that may not be repeated, such as a
// booking or a ledger. It runs a call again when it is sent again, and counts
// that: Runs above one for a key is a doubled booking. Exported fields are set
// before the first request.
type Service struct {
	Worker
	// NoAsk makes the service refuse to say whether a key ran.
	NoAsk bool
}

// ServeHTTP runs an attempt or says whether a key ran.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.NoAsk && r.URL.Path == contract.AskPath {
		http.NotFound(w, r)
		return
	}
	s.Worker.ServeHTTP(w, r)
}

// Doubled returns the keys that ran more than once.
func (s *Service) DuplicatedKeys() []string {
	var keys []string
	for key, n := range s.Runs() {
		if n > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}
