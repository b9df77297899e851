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

// Path is where a host gives its Host report.
const Path = "/v1/report"

// Bounds of the collection of reports.
const (
	fetchTimeout     = 5 * time.Second
	fetchConcurrency = 32
	maxReportBytes   = 256 << 20
)

// Error is the class of this package's errors.
var Error = errs.Class("report")

// Collect asks hosts for their reports and summarizes those that came. It fails
// only if none came.
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
	var came []*Host
	var silent []string
	for i, h := range reports {
		if h == nil {
			silent = append(silent, hosts[i].String())
			continue
		}
		came = append(came, h)
	}
	if len(came) == 0 {
		return nil, Error.New("no host gave a report: %v", errs.Combine(failures...))
	}
	return Summarize(came, silent), nil
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
