package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
)

// answer writes the pieces of one run with the faults of its target.
type answer struct {
	w       http.ResponseWriter
	enc     *json.Encoder
	run     *contract.Run
	fault   AnswerFault
	other   string // attempt ID of another run
	seq     int
	held    *contract.Piece
	started time.Time
}

// answer begins the answer to run.
func (c *core) answer(w http.ResponseWriter, run *contract.Run) *answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	a := &answer{w: w, enc: json.NewEncoder(w), run: run, seq: run.ResumeFrom, other: c.lastID, started: time.Now()}
	if a.other == "" || a.other == run.AttemptID {
		a.other = "foreign-" + run.AttemptID
	}
	c.lastID = run.AttemptID
	c.answers++
	if c.faults.AnswersEvery <= 1 || c.answers%c.faults.AnswersEvery == 0 {
		a.fault = c.faults.Answers
	}
	return a
}

// piece sends the next piece that is not the last.
func (a *answer) piece(data string) { a.send(contract.Piece{Data: data}) }

// end sends the end mark with the members of p.
func (a *answer) end(p contract.Piece) {
	if a.fault == Truncated {
		return
	}
	p.End = true
	a.send(p)
	if a.held != nil {
		a.enc.Encode(a.held)
	}
}

func (a *answer) send(p contract.Piece) {
	p.AttemptID = a.run.AttemptID
	p.Seq = a.seq
	a.seq++
	switch a.fault {
	case Doubled:
		a.enc.Encode(&p)
	case Foreign:
		p.AttemptID = a.other
	case Garbled:
		io.WriteString(a.w, "{\"AttemptID\": \n")
	case OutOfOrder:
		if a.held == nil && !p.End {
			a.held = &p
			return
		}
	}
	a.enc.Encode(&p)
	if a.held != nil {
		a.enc.Encode(a.held)
		a.held = nil
	}
}

// flush sends what was written so far.
func (a *answer) flush() { http.NewResponseController(a.w).Flush() }
