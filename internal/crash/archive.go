package crash

import (
	"context"
	"encoding/json"
	"time"

	"berylswitch.example/berylswitch/internal/journal"
	"go.uber.org/zap"
)

// Archive keeps values by key beyond the life of all hosts, which may end at the
// same time.
type Archive interface {
	// Save stores value under key; a nil value deletes the key. Keys are the names of
	// suspects, values JSON lists of Word.
	Save(ctx context.Context, key string, value []byte) error
	// Load returns all values.
	Load(ctx context.Context) (map[string][]byte, error)
}

// Times of the archive.
const (
	archiveTimeout       = 2 * time.Second
	archiveRetryInterval = time.Second
	// archiveLossTime is longer than the time whose records an archive may lose.
	archiveLossTime = time.Minute
)

// Run loads the archive and saves to it what is blocked until ctx ends. While this
// host can't reach most others, it loads the archive again and again, since their news
// can reach it only there.
func (t *Table) Run(ctx context.Context) error {
	if t.Archive == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticks := t.Clock.Subscribe(ctx, archiveRetryInterval)
	loaded := t.load(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			if !loaded || t.amongMinority() {
				loaded = t.load(ctx)
			}
			t.saveAll(ctx)
		}
	}
}

// load applies what the archive holds and reports whether it could be read. What has
// expired is saved again without it.
func (t *Table) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	values, err := t.Archive.Load(ctx)
	if err != nil {
		t.Log.Info("cannot load archive of crashes", journal.Error(err))
		return false
	}
	for key, value := range values {
		var words []Word
		if err := json.Unmarshal(value, &words); err != nil {
			t.Log.Warn("cannot decode archived crashes", zap.String("Key", key), journal.Error(err))
			continue
		}
		for _, w := range words {
			if t.Clock.Since(w.At) <= incidentLifetime {
				t.apply(w)
			} else {
				t.markUnsaved(key)
			}
		}
	}
	t.Log.Info("archive of crashes loaded", zap.Int("Keys", len(values)))
	return true
}

// markUnsaved makes Run save the state of key.
func (t *Table) markUnsaved(key string) {
	if t.Archive == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unsaved == nil {
		t.unsaved = map[string]bool{}
	}
	t.unsaved[key] = true
}

// saveAll saves the keys that are marked. Those that can't be saved stay marked.
func (t *Table) saveAll(ctx context.Context) {
	t.mu.Lock()
	keys := make([]string, 0, len(t.unsaved))
	for key := range t.unsaved {
		keys = append(keys, key)
	}
	t.unsaved = nil
	t.mu.Unlock()
	for _, key := range keys {
		if err := t.save(ctx, key); err != nil {
			t.Log.Info("cannot archive crashes", zap.String("Key", key), journal.Error(err))
			t.markUnsaved(key)
			continue
		}
		t.recordSaved(key)
	}
}

// recordSaved records that this host has saved key, and forgets keys that it saved too long
// ago for the archive to lose them.
func (t *Table) recordSaved(key string) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.savedAt == nil {
		t.savedAt = map[string]time.Time{}
	}
	t.savedAt[key] = now
	for key, at := range t.savedAt {
		if now.Sub(at) > archiveLossTime {
			delete(t.savedAt, key)
		}
	}
}

// ArchiveAgain makes Run save again what this host has saved lately, since the archive may
// have lost it.
func (t *Table) ArchiveAgain() {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unsaved == nil {
		t.unsaved = map[string]bool{}
	}
	for key, at := range t.savedAt {
		if now.Sub(at) <= archiveLossTime {
			t.unsaved[key] = true
		}
	}
}

func (t *Table) save(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	words := t.wordsOf(key)
	if len(words) == 0 {
		return t.Archive.Save(ctx, key, nil)
	}
	value, err := json.Marshal(words)
	if err != nil {
		return Error.Wrap(err)
	}
	return t.Archive.Save(ctx, key, value)
}

// wordsOf returns the news that make up the state of key.
func (t *Table) wordsOf(key string) []Word {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var words []Word
	suspect := suspectOf(key)
	for _, i := range t.suspects.against(suspect, now) {
		words = append(words, Word{Target: i.Target, At: i.at, Crash: &Crash{Incident: i.Incident, Suspects: []Suspect{suspect}}})
	}
	return words
}
