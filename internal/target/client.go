package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"berylswitch.example/berylswitch/internal/contract"
	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// maxPieceBytes bounds one line of a target's answer.
const maxPieceBytes = 1 << 20

// Broken is the error of an attempt whose connection or answer broke. Sent says
// whether bytes of the attempt may have reached the target.
type Broken struct {
	Target string
	Sent   bool
	Reason string
}

// Error names the target and the reason.
func (b *Broken) Error() string { return fmt.Sprintf("target %s: %s", b.Target, b.Reason) }

// Failure is a target's own statement that the stage failed.
type Failure struct {
	Target string
	Reason string
}

// Error names the target and the reason.
func (f *Failure) Error() string { return fmt.Sprintf("target %s failed: %s", f.Target, f.Reason) }

// Client runs attempts at targets. Exported fields are set before the first
// call.
type Client struct {
	HTTP *http.Client
}

// NewClient returns a client over n.
func NewClient(n link.Network) *Client {
	return &Client{HTTP: &http.Client{Transport: link.Transport(n)}}
}

// Run executes run at t and calls each with every piece, in order. It returns
// once the end mark came, with a *Broken or a *Failure otherwise.
func (c *Client) Run(ctx context.Context, t *declaration.Target, run *contract.Run, each func(contract.Piece) error) error {
	body, err := json.Marshal(run)
	if err != nil {
		return err
	}
	url := "http://" + t.Addr.String() + contract.RunPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return &Broken{Target: t.Name, Sent: !link.IsRefused(err), Reason: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &Failure{Target: t.Name, Reason: resp.Status}
	}
	return readPieces(bufio.NewScanner(resp.Body), t.Name, run, each)
}

// readPieces checks attempt, sequence and end mark of the pieces.
func readPieces(s *bufio.Scanner, name string, run *contract.Run, each func(contract.Piece) error) error {
	s.Buffer(nil, maxPieceBytes)
	next := run.ResumeFrom
	for s.Scan() {
		var p contract.Piece
		if err := json.Unmarshal(s.Bytes(), &p); err != nil {
			return &Broken{Target: name, Sent: true, Reason: "a piece is no JSON: " + err.Error()}
		}
		if p.AttemptID != run.AttemptID {
			return &Broken{Target: name, Sent: true, Reason: "a piece of another attempt"}
		}
		if p.Seq != next {
			return &Broken{Target: name, Sent: true, Reason: fmt.Sprintf("piece %d where %d was due", p.Seq, next)}
		}
		next++
		if p.Failure != "" {
			return &Failure{Target: name, Reason: p.Failure}
		}
		if err := each(p); err != nil {
			return err
		}
		if p.End {
			return nil
		}
	}
	reason := "the answer ended without its end mark"
	if err := s.Err(); err != nil {
		reason = err.Error()
	}
	return &Broken{Target: name, Sent: true, Reason: reason}
}
