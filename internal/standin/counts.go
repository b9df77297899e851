package standin

import "sync"

// loadCounter counts the waiting and the running runs of a target.
type loadCounter struct {
	mu               sync.Mutex
	running, waiting int
}

func (l *loadCounter) add(running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running += running
	l.waiting += waiting
}

func (l *loadCounter) enqueue() { l.add(0, 1) }
func (l *loadCounter) start()   { l.add(1, -1) }
func (l *loadCounter) abandon() { l.add(0, -1) }
func (l *loadCounter) finish()  { l.add(-1, 0) }

func (l *loadCounter) counts() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, l.waiting
}

// answerTable stores the answers of runs with an idempotency key, by key, up to
// maxKeys.
type answerTable struct {
	mu      sync.Mutex
	answers map[string]string
}

func (t *answerTable) put(key, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answers == nil {
		t.answers = map[string]string{}
	}
	if key != "" && len(t.answers) < maxKeys {
		t.answers[key] = text
	}
}

func (t *answerTable) get(key string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	text, ok := t.answers[key]
	return text, ok
}
