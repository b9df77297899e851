package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"berylswitch.example/berylswitch/internal/link"
)

// Paths and parameters of the platform's HTTP interfaces.
const (
	AppendPath = "/append"
	ReadPath   = "/read"
	HostsPath  = "/hosts"

	StreamParam = "Stream"
	FromParam   = "From"
	WaitParam   = "Wait"
)

// maxReplyBytes bounds a response of the platform.
const maxReplyBytes = 64 << 20

// callTimeout bounds a call beyond its requested wait.
const callTimeout = 5 * time.Second

// AppendReply is the log service's response to an append.
type AppendReply struct {
	Offset Offset
}

// Client implements Log and HostList over HTTP. Exported fields are set before
// the first call.
type Client struct {
	LogAddr      netip.AddrPort
	HostListAddr netip.AddrPort
	HTTP         *http.Client

	mu    sync.Mutex
	etag  string // ETag of hosts
	hosts []HostEntry
}

var (
	_ Log      = (*Client)(nil)
	_ HostList = (*Client)(nil)
)

// NewClient returns a client that connects over n.
func NewClient(n link.Network, logAddr, hostListAddr netip.AddrPort) *Client {
	return &Client{LogAddr: logAddr, HostListAddr: hostListAddr, HTTP: &http.Client{Transport: link.Transport(n)}}
}

// Append appends entries to stream.
func (c *Client) Append(ctx context.Context, stream string, entries []Entry) (Offset, error) {
	body, err := json.Marshal(entries)
	if err != nil {
		return 0, &RefusedError{Reason: err.Error()}
	}
	q := url.Values{StreamParam: {stream}}
	var reply AppendReply
	err = c.call(ctx, callTimeout, http.MethodPost, c.LogAddr, AppendPath, q, body, &reply)
	return reply.Offset, err
}

// Read reads stream from the offset from on.
func (c *Client) Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Batch, error) {
	q := url.Values{
		StreamParam: {stream},
		FromParam:   {strconv.FormatInt(int64(from), 10)},
		WaitParam:   {wait.String()},
	}
	var batch Batch
	err := c.call(ctx, callTimeout+wait, http.MethodGet, c.LogAddr, ReadPath, q, nil, &batch)
	return batch, err
}

// Hosts reads the host list. If the list has not changed since the last read,
// the response has no body. The caller must not change the entries.
func (c *Client) Hosts(ctx context.Context) ([]HostEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: c.HostListAddr.String(), Path: HostsPath}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	etag, known := c.etag, c.hosts
	c.mu.Unlock()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, src, err := c.do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusNotModified {
		return known, nil
	}
	var hosts []HostEntry
	if err := decodeReply(resp, src, &hosts); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.hosts = resp.Header.Get("ETag"), hosts
	return hosts, nil
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method string, addr netip.AddrPort, path string, q url.Values, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: addr.String(), Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	resp, src, err := c.do(req)
	if err != nil {
		return err
	}
	return decodeReply(resp, src, reply)
}

// do sends req and returns the response and its body.
func (c *Client) do(req *http.Request) (*http.Response, []byte, error) {
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, nil, callError(err)
	}
	defer resp.Body.Close()
	src, err := link.ReadBody(resp.Body, maxReplyBytes)
	return resp, src, err
}

// callError returns a RefusedError for a call that was never sent, as opposed to
// one whose response was lost.
func callError(err error) error {
	if link.IsRefused(err) {
		return &RefusedError{Reason: err.Error()}
	}
	return err
}

func decodeReply(resp *http.Response, src []byte, reply any) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(src, reply)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return &RefusedError{Reason: string(src), RetryAfter: time.Duration(seconds) * time.Second}
	default:
		return fmt.Errorf("platform: %s: %s", resp.Status, src)
	}
}
