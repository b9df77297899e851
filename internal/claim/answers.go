package claim

import "encoding/json"

// maxAnswersBytes bounds the answers that one Table keeps in memory. Older ones
// are read back from the log.
const maxAnswersBytes = 8 << 20

// answers keeps the newest stored answers within maxAnswersBytes. order may name
// answers that were removed; they leave it when they come first.
type answers struct {
	byKey map[identity]json.RawMessage
	order []identity
	size  int
}

func (a *answers) put(id identity, answer json.RawMessage) {
	if len(answer) == 0 {
		return
	}
	if a.byKey == nil {
		a.byKey = map[identity]json.RawMessage{}
	}
	a.byKey[id] = answer
	a.order = append(a.order, id)
	a.size += len(answer)
	for a.size > maxAnswersBytes || !a.has(a.order[0]) {
		a.remove(a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answers) get(id identity) json.RawMessage { return a.byKey[id] }

func (a *answers) has(id identity) bool { return a.byKey[id] != nil }

func (a *answers) remove(id identity) {
	a.size -= len(a.byKey[id])
	delete(a.byKey, id)
}
