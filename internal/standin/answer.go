package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
)

// answer writes the pieces of one run with the faults of its target.
type pieceWriter struct {
	w         http.ResponseWriter
	enc       *json.Encoder
	run       *contract.Run
	fault     AnswerFault
	foreignID string // attempt ID of another run
	seq       int
	delayed   *contract.Piece
	started   time.Time
}

// answer begins the answer to run.
func (c *targetState) newPieceWriter(w http.ResponseWriter, run *contract.Run) *pieceWriter {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	a := &pieceWriter{w: w, enc: json.NewEncoder(w), run: run, seq: run.ResumeFrom, foreignID: c.lastAttemptID, started: time.Now()}
	if a.foreignID == "" || a.foreignID == run.AttemptID {
		a.foreignID = "foreign-" + run.AttemptID
	}
	c.lastAttemptID = run.AttemptID
	c.answerCount++
	if c.faults.AnswersEvery <= 1 || c.answerCount%c.faults.AnswersEvery == 0 {
		a.fault = c.faults.Answers
	}
	return a
}

// piece sends the next piece that is not the last.
func (a *pieceWriter) writePiece(data string) { a.write(contract.Piece{Data: data}) }

// end sends the end mark with the members of p.
func (a *pieceWriter) writeEnd(p contract.Piece) {
	if a.fault == Truncated {
		return
	}
	p.End = true
	a.write(p)
	if a.delayed != nil {
		a.enc.Encode(a.delayed)
	}
}

func (a *pieceWriter) write(p contract.Piece) {
	p.AttemptID = a.run.AttemptID
	p.Seq = a.seq
	a.seq++
	switch a.fault {
	case Doubled:
		a.enc.Encode(&p)
	case Foreign:
		p.AttemptID = a.foreignID
	case Garbled:
		io.WriteString(a.w, "{\"AttemptID\": \n")
	case OutOfOrder:
		if a.delayed == nil && !p.End {
			a.delayed = &p
			return
		}
	}
	a.enc.Encode(&p)
	if a.delayed != nil {
		a.enc.Encode(a.delayed)
		a.delayed = nil
	}
}

// flush sends what was written so far.
func (a *pieceWriter) flush() { http.NewResponseController(a.w).Flush() }
