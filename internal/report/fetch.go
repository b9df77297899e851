package report

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Path is the HTTP path at which a host serves its Host report.
const Path = "/v1/report"

// Limits for fetching reports.
const (
	fetchTimeout     = 5 * time.Second
	fetchConcurrency = 32
	maxReportBytes   = 256 << 20
)

// Error is the class of this package's errors.
var Error = errs.Class("report")

// Collect fetches the reports of hosts and summarizes those received. It fails
// only if it receives none.
func Collect(ctx context.Context, client *http.Client, hosts []netip.AddrPort) (*Summary, error) {
	reports := make([]*Host, len(hosts))
	failures := make([]error, len(hosts))
	var g errgroup.Group
	g.SetLimit(fetchConcurrency)
	for i, addr := range hosts {
		g.Go(func() error {
			reports[i], failures[i] = fetch(ctx, client, addr)
			return nil
		})
	}
	g.Wait()
	var received []*Host
	var silent []string
	for i, h := range reports {
		if h == nil {
			silent = append(silent, hosts[i].String())
			continue
		}
		received = append(received, h)
	}
	if len(received) == 0 {
		return nil, Error.New("no host returned a report: %v", errs.Combine(failures...))
	}
	return Summarize(received, silent), nil
}

func fetch(ctx context.Context, client *http.Client, addr netip.AddrPort) (*Host, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+Path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("%s: %s", addr, resp.Status)
	}
	h := &Host{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(h); err != nil {
		return nil, Error.New("%s: %w", addr, err)
	}
	return h, nil
}
