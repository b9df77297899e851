package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"berylswitch.example/berylswitch/pkg/caller"
)

// postRequest posts a request and decodes its answer.
func postRequest(ctx context.Context, client *http.Client, url, key, body string) (*caller.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(caller.KeyHeader, key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	a := &caller.Answer{}
	return a, json.NewDecoder(resp.Body).Decode(a)
}
