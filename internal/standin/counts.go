package standin

import "sync"

// loadCount counts the runs of a target that wait and that run.
type loadCount struct {
	mu               sync.Mutex
	running, waiting int
}

func (l *loadCount) add(running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running += running
	l.waiting += waiting
}

func (l *loadCount) wait()  { l.add(0, 1) }
func (l *loadCount) begin() { l.add(1, -1) }
func (l *loadCount) leave() { l.add(0, -1) }
func (l *loadCount) end()   { l.add(-1, 0) }

func (l *loadCount) read() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, l.waiting
}

// answerTable keeps the answers of the runs with a key, up to maxKeys.
type answerTable struct {
	mu   sync.Mutex
	text map[string]string
}

func (t *answerTable) put(key, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.text == nil {
		t.text = map[string]string{}
	}
	if key != "" && len(t.text) < maxKeys {
		t.text[key] = text
	}
}

func (t *answerTable) get(key string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	text, ok := t.text[key]
	return text, ok
}
