package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/report"
	"berylswitch.example/berylswitch/internal/site"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/google/uuid"
)

// tryCommand is a demonstration in one process: two hosts and stand-ins for the
// targets and the platform's services, on loopback.
type tryCommand struct {
	Stay bool `long:"stay" description:"serve on and print curl lines"`

	ctx context.Context
}

// tryTimeout limits the run without --stay. A run takes a second or two; only a
// machine that is busy with other work needs more.
const tryTimeout = time.Minute

// Names that the run declares.
const (
	tryWorkspace = "Demo"
	menuPipeline = "Menu"
	bookPipeline = "Booking"
	tryModel     = "small"
)

// trySite holds the hosts and stand-ins of the run.
type trySite struct {
	site    *site.Site
	booking *standin.Service
	out     io.Writer
}

// Execute runs the command.
func (c *tryCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, tryTimeout)
	defer cancel()
	t := newTrySite(os.Stdout)
	if err := t.site.Start(ctx); err != nil {
		return errors.Join(err, t.site.Stop())
	}
	err := t.run(ctx)
	if err == nil && c.Stay {
		t.printCurl()
		<-c.ctx.Done()
	}
	return errors.Join(err, t.site.Stop())
}

func newTrySite(out io.Writer) *trySite {
	t := &trySite{out: out, booking: &standin.Service{Worker: standin.Worker{Speed: 1, Slots: 4}}}
	t.site = &site.Site{
		Hosts:      2,
		Log:        &standin.Log{},
		HostList:   &standin.HostList{},
		Workspaces: []declaration.Workspace{{Name: tryWorkspace}},
		Pools:      t.pools(),
		Pipelines:  tryPipelines(),
	}
	return t
}

func (t *trySite) pools() []site.Pool {
	worker := func() http.Handler {
		return &standin.Worker{Speed: 1, Slots: 4, BaseService: 2 * time.Millisecond}
	}
	engine := func() http.Handler {
		return &standin.Engine{Speed: 2, Slots: 8, Models: []string{tryModel}}
	}
	return []site.Pool{
		{Pool: declaration.Pool{Name: "Encoders"}, Targets: []http.Handler{worker()}},
		{Pool: declaration.Pool{Name: "Retrievers"}, Targets: []http.Handler{worker(), worker()}},
		{Pool: declaration.Pool{Name: "Rerankers"}, Targets: []http.Handler{worker()}},
		{Pool: declaration.Pool{Name: "Engines"}, Model: tryModel, Targets: []http.Handler{engine(), engine()}},
		{Pool: declaration.Pool{Name: "Bookings", NonIdempotent: true}, Targets: []http.Handler{t.booking}},
	}
}

func tryPipelines() []declaration.Pipeline {
	return []declaration.Pipeline{
		{Name: menuPipeline, Deadline: declaration.Duration(20 * time.Second), Objective: 0.99, Stages: []declaration.Stage{
			{Name: "Encode", Pool: "Encoders"},
			{Name: "Retrieve", Pool: "Retrievers"},
			{Name: "Rerank", Pool: "Rerankers"},
			{Name: "Generate", Pool: "Engines", Model: tryModel},
		}},
		{Name: bookPipeline, Deadline: declaration.Duration(20 * time.Second), Objective: 0.999, Stages: []declaration.Stage{
			{Name: "Book", Pool: "Bookings"},
		}},
	}
}

// run sends the requests and prints the answers and the report.
func (t *trySite) run(ctx context.Context) error {
	fmt.Fprintf(t.out, "Two hosts on %v in front of %d targets; the platform's services are stand-ins.\n", t.site.Callers, len(t.site.Targets))
	if err := t.sendMenu(ctx); err != nil {
		return err
	}
	if err := t.sendBooking(ctx); err != nil {
		return err
	}
	s, err := report.Collect(ctx, http.DefaultClient, t.site.Callers)
	if err != nil {
		return err
	}
	fmt.Fprintln(t.out)
	return report.WriteText(t.out, s)
}

// menuTexts are the inputs for the menu pipeline.
var menuTexts = []string{"lunch without nuts", "dinner for two", "a menu for the week"}

// menuTokens is the number of tokens of an answer.
const menuTokens = 12

func (t *trySite) sendMenu(ctx context.Context) error {
	fmt.Fprintf(t.out, "\nPipeline %s: four stages, the last a model engine.\n", menuPipeline)
	for i, text := range menuTexts {
		body := fmt.Sprintf(`{"Text": %q, "Tokens": %d, "Prefix": "house rules"}`, text, menuTokens)
		a, err := t.call(ctx, i, menuPipeline, "", body)
		if err != nil {
			return err
		}
		t.printAnswer(i, a)
		if a.Code != result.OK {
			return fmt.Errorf("the request %q ended with %d %s: %s", text, int(a.Code), a.Name, a.Message)
		}
	}
	return nil
}

// sendBooking sends one booking twice with the same key, to different hosts.
func (t *trySite) sendBooking(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "\nPipeline %s: one booking, sent twice with the key %s.\n", bookPipeline, key)
	for i := range t.site.Callers {
		a, err := t.call(ctx, i, bookPipeline, key.String(), `{"Text": "table 4 at nine"}`)
		if err != nil {
			return err
		}
		t.printAnswer(i, a)
		if a.Code != result.OK {
			return fmt.Errorf("the booking ended with %d %s: %s", int(a.Code), a.Name, a.Message)
		}
	}
	n := t.booking.Runs()[key.String()]
	fmt.Fprintf(t.out, "  The booking service ran it %d time(s).\n", n)
	if n != 1 {
		return fmt.Errorf("the booking ran %d times, not once", n)
	}
	return nil
}

// retryDelay is the delay before a request is sent again that was not run, or
// whose key is in progress.
const retryDelay = 100 * time.Millisecond

// call posts a request to the host with number i. It retries while the request
// is refused without having run, or while its first attempt still runs as far as
// the host knows. A host refuses requests after it was itself delayed for long,
// as on a busy machine.
func (t *trySite) call(ctx context.Context, i int, pipeline, key, body string) (*caller.Answer, error) {
	var c clock.Service
	for {
		a, err := postRequest(ctx, http.DefaultClient, t.url(i, pipeline), key, body)
		if err != nil || a.Code != result.InProgress && (a.Code < firstRefusal || a.Ran != result.RanNo) {
			return a, err
		}
		if err := c.Sleep(ctx, retryDelay); err != nil {
			return nil, fmt.Errorf("%d %s: %s", int(a.Code), a.Name, a.Message)
		}
	}
}

// firstRefusal is the lowest code of a refusal that is not the caller's fault.
const firstRefusal result.Code = 200

func (t *trySite) url(i int, pipeline string) string {
	addr := t.site.Callers[i%len(t.site.Callers)]
	return "http://" + addr.String() + "/v1/workspaces/" + tryWorkspace + "/pipelines/" + pipeline
}

func (t *trySite) printAnswer(i int, a *caller.Answer) {
	repeated := ""
	if a.Repeated {
		repeated = " (the stored answer of the first attempt)"
	}
	fmt.Fprintf(t.out, "  host-%d: %d %s, ran: %s, %v%s\n    %s\n", i%len(t.site.Callers)+1, int(a.Code), a.Name, a.Ran, a.Took.Round(time.Millisecond/10), repeated, a.Output)
	for _, s := range a.Stages {
		fmt.Fprintf(t.out, "      %-9s %-13s queued %-8v cost %v\n", s.Stage, s.Target, s.Queued.Round(time.Microsecond), s.Cost.Round(time.Microsecond))
	}
}

// printCurl prints shell commands that send requests to the running hosts.
func (t *trySite) printCurl() {
	key, err := uuid.NewV7()
	if err != nil {
		panic(err) // no random numbers are available
	}
	fmt.Fprintln(t.out, "\nStill serving; stop with Ctrl-C. Commands to try:")
	body := `{"Text": "lunch without nuts", "Tokens": 20, "Prefix": "house rules"}`
	fmt.Fprintf(t.out, "curl -sS -d '%s' %s\n", body, t.url(0, menuPipeline))
	fmt.Fprintf(t.out, "curl -sSN -H 'Accept: %s' -d '%s' %s\n", caller.StreamType, body, t.url(1, menuPipeline))
	for i := range t.site.Callers {
		fmt.Fprintf(t.out, "curl -sS -H '%s: %s' -d '{\"Text\": \"table 5 at nine\"}' %s\n", caller.KeyHeader, key, t.url(i, bookPipeline))
	}
	fmt.Fprintf(t.out, "curl -sS http://%s%s\n", t.site.Callers[0], report.Path)
	fmt.Fprintf(t.out, "curl -sS http://%s/v1/ready\n", t.site.Callers[0])
}
