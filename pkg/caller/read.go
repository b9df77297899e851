package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// Limits of an answer.
const (
	maxAnswerBytes = 64 << 20
	maxEventBytes  = 64 << 20
)

// readAnswer reads the answer of a host, streamed or not.
func (t *attempt) readAnswer(resp *http.Response, each func(string) error) {
	body := io.LimitReader(resp.Body, maxAnswerBytes)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), StreamType) {
		t.readEvents(body, each)
		return
	}
	a := &Answer{}
	if err := json.NewDecoder(body).Decode(a); err != nil {
		t.err = Error.New("%s: %v", resp.Status, err)
		return
	}
	if a.Name == "" {
		t.err = Error.New("%s: not an answer of berylswitch", resp.Status)
		return
	}
	t.answer = a
}

// readEvents passes the text of a stream to each. The stream is complete only if
// it ends with an Answer.
func (t *attempt) readEvents(body io.Reader, each func(string) error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for next := 0; lines.Scan(); next++ {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			t.err = Error.New("event %d: %v", next, err)
			return
		}
		if e.Seq != next {
			t.err = Error.New("got event %d, want %d", e.Seq, next)
			return
		}
		if e.Answer != nil {
			t.answer = e.Answer
			return
		}
		t.delivered = true
		if err := each(e.Data); err != nil {
			t.err = err
			return
		}
	}
	if t.err = lines.Err(); t.err == nil {
		t.err = Error.New("stream ended without an answer")
	}
}
