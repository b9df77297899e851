package scenario

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/pkg/caller"
	"github.com/google/uuid"
)

// call is one request of a caller and its answer.
type call struct {
	id       string
	host     string
	pipeline string
	key      string
	stream   bool
	deadline time.Duration
	priority string
	work     contract.Work
	body     string // sent instead of work unless empty

	cancel context.CancelFunc
	done   chan struct{}
	// The fields below are valid once done is closed.
	answer *caller.Answer
	// streamed is the concatenated text of the events, events their number.
	streamed string
	events   int
	err      error
}

// newKey returns a UUIDv7 for the current virtual time. The generator of the uuid
// package can't be used because its time never goes backwards, but that of the
// next synctest bubble does.
func (cl *cluster) newKey() string {
	cl.keyCount++
	id := uuid.UUID{8: 0x80}
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint32(id[12:], uint32(cl.keyCount))
	return id.String()
}

// send sends c's request in the background.
func (cl *cluster) send(c *call) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel, c.done = cancel, make(chan struct{})
	cl.calls[c.id] = c
	body := c.body
	if body == "" {
		data, err := json.Marshal(&c.work)
		if err != nil {
			cl.t.Fatal(err)
		}
		body = string(data)
	}
	url := fmt.Sprintf("http://%s/v1/workspaces/W/pipelines/%s", cl.hosts[c.host].settings.CallerAddr, c.pipeline)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		cl.t.Fatal(err)
	}
	setHeader(r, caller.KeyHeader, c.key)
	setHeader(r, caller.PriorityHeader, c.priority)
	if c.deadline != 0 {
		setHeader(r, caller.DeadlineHeader, c.deadline.String())
	}
	if c.stream {
		setHeader(r, "Accept", caller.StreamType)
	}
	go func() {
		defer close(c.done)
		defer cancel()
		c.err = c.exchange(cl.client, r)
	}()
}

func setHeader(r *http.Request, name, value string) {
	if value != "" {
		r.Header.Set(name, value)
	}
}

// exchange sends r and reads the answer.
func (c *call) exchange(client *http.Client, r *http.Request) error {
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if !c.stream {
		a := &caller.Answer{}
		if err := json.NewDecoder(resp.Body).Decode(a); err != nil {
			return err
		}
		c.answer = a
		return nil
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var e caller.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return err
		}
		if e.Seq != c.events {
			return fmt.Errorf("got event %d, expected %d", e.Seq, c.events)
		}
		c.events++
		c.streamed += e.Data
		c.answer = e.Answer
	}
	if c.answer == nil {
		return fmt.Errorf("the stream ended without an answer")
	}
	return lines.Err()
}

// ended reports whether the caller has stopped waiting.
func (c *call) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// describe formats the outcome of c without the names of targets. If attempts is
// set, it includes the number of attempts of each stage.
func (c *call) describe(attempts bool) string {
	if c.answer == nil {
		return "no answer"
	}
	a := c.answer
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s Ran=%s", int(a.Code), a.Name, a.Ran)
	if a.Repeated {
		b.WriteString(" Repeated")
	}
	if a.Place != "" {
		fmt.Fprintf(&b, " Place=%s", a.Place)
	}
	if a.Output != "" {
		fmt.Fprintf(&b, " %q", removeTargetNames(a.Output))
	}
	for _, s := range a.Stages {
		if attempts {
			fmt.Fprintf(&b, " %s*%d", s.Stage, s.Attempts)
		}
	}
	if c.stream {
		fmt.Fprintf(&b, " streamed=%q", removeTargetNames(c.streamed))
	}
	return b.String()
}
