package claim

import "encoding/json"

// maxAnswersBytes limits the size of the answers that one Table keeps in memory.
// Older answers are read back from the log.
const maxAnswersBytes = 8 << 20

// answerCache holds the newest stored answers, up to maxAnswersBytes. order may
// list answers that were removed; they are dropped when they become the oldest.
type answerCache struct {
	byKey map[shortHash]json.RawMessage
	order []shortHash
	size  int
}

func (a *answerCache) put(id shortHash, answer json.RawMessage) {
	if len(answer) == 0 {
		return
	}
	if a.byKey == nil {
		a.byKey = map[shortHash]json.RawMessage{}
	}
	a.byKey[id] = answer
	a.order = append(a.order, id)
	a.size += len(answer)
	for a.size > maxAnswersBytes || !a.has(a.order[0]) {
		a.remove(a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answerCache) get(id shortHash) json.RawMessage { return a.byKey[id] }

func (a *answerCache) has(id shortHash) bool { return a.byKey[id] != nil }

func (a *answerCache) remove(id shortHash) {
	a.size -= len(a.byKey[id])
	delete(a.byKey, id)
}
