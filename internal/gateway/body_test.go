package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/settings"
	"github.com/cockroachdb/datadriven"
)

// TestBody runs the scripts under testdata/body, which read bodies as their bytes arrive.
// They guard against memory that grows with an announced length, and against bodies that
// take memory of the wrong part or keep it.
func TestBody(t *testing.T) {
	datadriven.Walk(t, "testdata/body", func(t *testing.T, path string) {
		s := &bodyScript{bodies: map[string]*scriptedBody{}}
		datadriven.RunTest(t, path, s.run)
	})
}

type bodyScript struct {
	memory *bodyMemory
	bodies map[string]*scriptedBody
}

// scriptedBody is a body and the caller that sends it.
type scriptedBody struct {
	body          body
	length, limit int64
	sent          []byte
	arrived       bytes.Buffer
	ended         bool
}

// errNothingArrived ends a read that would wait for the caller.
var errNothingArrived = errors.New("waits")

// Read returns what has arrived.
func (b *scriptedBody) Read(p []byte) (int, error) {
	if b.arrived.Len() > 0 {
		return b.arrived.Read(p)
	}
	if b.ended {
		return 0, io.EOF
	}
	return 0, errNothingArrived
}

func (s *bodyScript) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "memory":
		l := settings.CallerLimits{}
		d.ScanArgs(t, "small", &l.SmallBodyBytes)
		d.ScanArgs(t, "large", &l.BodyBytes)
		s.memory = newBodyMemory(l, &callerConns{Clock: &clock.Service{}})
		return ""
	case "body":
		b := &scriptedBody{length: -1}
		d.ScanArgs(t, "limit", &b.limit)
		d.MaybeScanArgs(t, "length", &b.length)
		b.body.memory = s.memory
		s.bodies[d.CmdArgs[0].Key] = b
		return ""
	case "arrive":
		b := s.bodies[d.CmdArgs[0].Key]
		var n int
		d.ScanArgs(t, "bytes", &n)
		content := []byte(strings.Repeat("0123456789abcdefghijklmnopqrstuvwxyz", n/36+1)[:n])
		b.sent = append(b.sent, content...)
		b.arrived.Write(content)
		return s.read(b)
	case "end":
		b := s.bodies[d.CmdArgs[0].Key]
		b.ended = true
		return s.read(b)
	case "release":
		b := s.bodies[d.CmdArgs[0].Key]
		b.body.release()
		return s.used()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// read reads what has arrived of b and describes the outcome.
func (s *bodyScript) read(b *scriptedBody) string {
	err := b.body.readAll(b, b.length, b.limit)
	outcome := "complete"
	if err != nil {
		outcome = err.Error()
	}
	var content bytes.Buffer
	b.body.writeTo(&content)
	if !bytes.HasPrefix(b.sent, content.Bytes()) || err == nil && content.Len() != len(b.sent) {
		outcome += ", content differs"
	}
	return fmt.Sprintf("%s, %d bytes in %d\n%s", outcome, b.body.size, b.body.capacity, s.used())
}

func (s *bodyScript) used() string {
	return fmt.Sprintf("used: small %d, large %d\n", s.memory.small.Used(), s.memory.large.Used())
}
