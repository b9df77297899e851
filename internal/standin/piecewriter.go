package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
)

// pieceWriter writes the pieces of the answer to one run and injects the answer
// fault of its target.
type pieceWriter struct {
	w         http.ResponseWriter
	enc       *json.Encoder
	run       *contract.Run
	fault     AnswerFault
	foreignID string // attempt ID of another run, for Foreign
	seq       int
	delayed   *contract.Piece // held back to be sent after its successor, for OutOfOrder
	started   time.Time
}

// newPieceWriter returns a writer of the answer to run. With AnswersEvery set
// only each nth answer gets the fault.
func (t *targetState) newPieceWriter(w http.ResponseWriter, run *contract.Run) *pieceWriter {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	pw := &pieceWriter{w: w, enc: json.NewEncoder(w), run: run, seq: run.ResumeFrom, foreignID: t.lastAttemptID, started: time.Now()}
	if pw.foreignID == "" || pw.foreignID == run.AttemptID {
		pw.foreignID = "foreign-" + run.AttemptID
	}
	t.lastAttemptID = run.AttemptID
	t.answerCount++
	if t.faults.AnswersEvery <= 1 || t.answerCount%t.faults.AnswersEvery == 0 {
		pw.fault = t.faults.Answers
	}
	return pw
}

// writePiece writes a piece that is not the last one.
func (pw *pieceWriter) writePiece(data string) { pw.write(contract.Piece{Data: data}) }

// writeEnd writes p as the last piece, unless the fault is Truncated.
func (pw *pieceWriter) writeEnd(p contract.Piece) {
	if pw.fault == Truncated {
		return
	}
	p.End = true
	pw.write(p)
	if pw.delayed != nil {
		pw.enc.Encode(pw.delayed)
	}
}

// write writes p as the next piece of the run, changed by the fault.
func (pw *pieceWriter) write(p contract.Piece) {
	p.AttemptID = pw.run.AttemptID
	p.Seq = pw.seq
	pw.seq++
	switch pw.fault {
	case Doubled:
		pw.enc.Encode(&p)
	case Foreign:
		p.AttemptID = pw.foreignID
	case Garbled:
		io.WriteString(pw.w, "{\"AttemptID\": \n")
	case OutOfOrder:
		if pw.delayed == nil && !p.End {
			pw.delayed = &p
			return
		}
	}
	pw.enc.Encode(&p)
	if pw.delayed != nil {
		pw.enc.Encode(pw.delayed)
		pw.delayed = nil
	}
}

// flush sends the pieces written so far to the caller.
func (pw *pieceWriter) flush() { http.NewResponseController(pw.w).Flush() }
