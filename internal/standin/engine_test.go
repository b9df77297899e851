package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"berylswitch.example/berylswitch/internal/contract"
	"github.com/google/go-cmp/cmp"
)

// joinData concatenates the data of pieces.
func joinData(pieces []contract.Piece) string {
	var out string
	for _, p := range pieces {
		out += p.Data
	}
	return out
}

// TestEngineBatches checks that concurrent sequences share the steps of a batch
// and that later runs with the same prefix need less prompt work.
func TestEngineBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Name: "e1", Speed: 1, Slots: 2, StepBase: 10 * time.Millisecond, StepPerSeq: time.Millisecond}
		f := newFixture(t, e)
		start := time.Now()
		alone, err := f.run(contract.Run{AttemptID: "a1", Stage: "g"}, contract.Work{Text: "x", Tokens: 10, Prefix: "p"})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("g(x) 1 2 3 4 5 6 7 8 9", joinData(alone)); diff != "" {
			t.Errorf("output (-want +got):\n%s", diff)
		}
		last := alone[len(alone)-1]
		if !last.End || last.CachedTokens != 0 || last.PromptTokens != defaultPrefixTokens+1 {
			t.Errorf("the first run ended with %+v", last)
		}
		if took := time.Since(start); took < 110*time.Millisecond || took > 140*time.Millisecond {
			t.Errorf("ten steps of 11 ms took %v", took)
		}
		done := make(chan []contract.Piece, 2)
		start = time.Now()
		for _, id := range []string{"a2", "a3"} {
			go func() {
				pieces, _ := f.run(contract.Run{AttemptID: id, Stage: "g"}, contract.Work{Tokens: 10, Prefix: "p"})
				done <- pieces
			}()
		}
		for range 2 {
			if p := <-done; p[len(p)-1].CachedTokens != defaultPrefixTokens {
				t.Errorf("a later run ended with %+v", p[len(p)-1])
			}
		}
		if took := time.Since(start); took > 140*time.Millisecond {
			t.Errorf("two sequences in one batch took %v", took)
		}
	})
}

// TestEnginePriority checks that a waiting run of higher priority goes first.
func TestEnginePriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, &Engine{Slots: 1})
		done := make(chan string, 3)
		for _, r := range []contract.Run{{AttemptID: "first"}, {AttemptID: "low"}, {AttemptID: "high", Priority: 1}} {
			go func() {
				f.run(r, contract.Work{Tokens: 5})
				done <- r.AttemptID
			}()
			time.Sleep(5 * time.Millisecond)
		}
		got := []string{<-done, <-done, <-done}
		if diff := cmp.Diff([]string{"first", "high", "low"}, got); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
	})
}

func TestEngineResumeAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Slots: 1}
		f := newFixture(t, e)
		pieces, err := f.run(contract.Run{AttemptID: "a", Stage: "g", ResumeFrom: 3}, contract.Work{Text: "x", Tokens: 5})
		if err != nil || pieces[0].Seq != 3 {
			t.Fatalf("a resumed run returned %+v, %v", pieces, err)
		}
		if diff := cmp.Diff(" 3 4", joinData(pieces)); diff != "" {
			t.Errorf("output (-want +got):\n%s", diff)
		}
		done := make(chan []contract.Piece)
		go func() {
			pieces, _ := f.run(contract.Run{AttemptID: "b", Stage: "g"}, contract.Work{Tokens: 1000})
			done <- pieces
		}()
		time.Sleep(100 * time.Millisecond)
		if _, _, err := f.call(t.Context(), "POST", contract.CancelPath, contract.Cancel{AttemptID: "b"}); err != nil {
			t.Fatal(err)
		}
		got := <-done
		if last := got[len(got)-1]; last.Failure == "" {
			t.Errorf("a cancelled run ended with %+v", last)
		}
	})
}

// TestEngineCrash checks that a crashing run breaks the connections of concurrent
// runs, that the engine refuses connections while it is down, and that the next
// incarnation starts with an empty prefix cache.
func TestEngineCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Slots: 4}
		f := newFixture(t, e)
		concurrent := make(chan error)
		go func() {
			_, err := f.run(contract.Run{AttemptID: "a"}, contract.Work{Tokens: 1000, Prefix: "p"})
			concurrent <- err
		}()
		time.Sleep(50 * time.Millisecond)
		if _, err := f.run(contract.Run{AttemptID: "b"}, contract.Work{Tokens: 5, Crash: true}); err == nil {
			t.Error("the crashing run was answered")
		}
		if err := <-concurrent; err == nil {
			t.Error("a run concurrent with the crash succeeded")
		}
		if _, err := f.run(contract.Run{AttemptID: "c"}, contract.Work{Tokens: 1}); err == nil {
			t.Error("the crashed engine accepted a run")
		}
		time.Sleep(defaultRestart + time.Second)
		pieces, err := f.run(contract.Run{AttemptID: "d"}, contract.Work{Tokens: 1, Prefix: "p"})
		if err != nil || pieces[len(pieces)-1].CachedTokens != 0 {
			t.Errorf("the next incarnation answered %+v, %v", pieces, err)
		}
		if diff := cmp.Diff("2", e.Incarnation()); diff != "" {
			t.Errorf("incarnation (-want +got):\n%s", diff)
		}
	})
}

func TestEngineFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Slots: 1}
		e.SetFaults(TargetFaults{Frozen: true})
		f := newFixture(t, e)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, _, err := f.call(ctx, "POST", contract.RunPath, contract.Run{AttemptID: "a", Input: []byte(`{"Tokens":1}`)}); err == nil {
			t.Error("a frozen engine answered")
		}
		e.SetFaults(TargetFaults{})
		if _, err := f.run(contract.Run{AttemptID: "b"}, contract.Work{Tokens: 1}); err != nil {
			t.Error(err)
		}
	})
}

func TestEngineEventLagAndGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Slots: 1, CachePrefixes: 1, EventLag: time.Second, EventGap: 3}
		f := newFixture(t, e)
		for _, prefix := range []string{"p", "q"} {
			if _, err := f.run(contract.Run{AttemptID: prefix}, contract.Work{Tokens: 1, Prefix: prefix}); err != nil {
				t.Fatal(err)
			}
		}
		var early, late contract.CacheEvents
		f.get(contract.EventsPath, &early)
		time.Sleep(2 * time.Second)
		f.get(contract.EventsPath, &late)
		if len(early.Events) != 0 || len(late.Events) != 2 {
			t.Errorf("events early %+v, late %+v", early.Events, late.Events)
		}
	})
}

func TestEngineOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := &Engine{Slots: 1, Models: []string{"m1"}, ChecksFencing: checks}
			f := newFixture(t, e)
			for _, fence := range []int64{7, 5} {
				order := contract.Order{ID: "o", Kind: contract.LoadModel, Model: "m2", Fence: fence}
				if _, _, err := f.call(t.Context(), "POST", contract.OrderPath, order); err != nil {
					t.Fatal(err)
				}
			}
			var stale int
			for _, o := range e.Orders() {
				if o.Stale {
					stale++
				}
			}
			want := 1
			if checks {
				want = 0
			}
			if diff := cmp.Diff(want, stale); diff != "" {
				t.Errorf("stale orders accepted with ChecksFencing %v (-want +got):\n%s", checks, diff)
			}
			var report contract.Report
			f.get(contract.ReportPath, &report)
			if diff := cmp.Diff([]string{"m1", "m2"}, report.Models); diff != "" {
				t.Errorf("models (-want +got):\n%s", diff)
			}
		})
	}
}
