package journal

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// coverage describes the lines in which a request was looked for.
type coverage struct {
	lines    int
	hosts    []string
	from, to time.Time
}

func newCoverage(lines []Line) coverage {
	c := coverage{lines: len(lines)}
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.Host != "" && !hosts[l.Host] {
			hosts[l.Host] = true
			c.hosts = append(c.hosts, l.Host)
		}
		if c.from.IsZero() || l.At.Before(c.from) {
			c.from = l.At
		}
		if l.At.After(c.to) {
			c.to = l.At
		}
	}
	sort.Strings(c.hosts)
	return c
}

// String returns the description for a person, for instance "2 lines of h1 and h2,
// from 2026-01-01T00:00:00Z to 2026-01-01T00:00:01Z".
func (c coverage) String() string {
	if c.lines == 0 {
		return "no lines"
	}
	return fmt.Sprintf("%d lines of %s, from %s to %s", c.lines, strings.Join(c.hosts, ", "), c.from.Format(time.RFC3339Nano), c.to.Format(time.RFC3339Nano))
}

// missingLogs returns what the lines of a request point at but all lines lack: its
// end, and hosts that held a service for it.
func missingLogs(ofRequest, all []Line) []string {
	var out []string
	ended := false
	holders := map[string]bool{}
	for _, l := range ofRequest {
		ended = ended || l.Message == "request"
		if holder, ok := l.Fields["Holder"].(string); ok {
			holders[holder] = true
		}
	}
	if !ended {
		out = append(out, "the end of the request; the log of the host that served it is missing, or it is still open")
	}
	for _, l := range all {
		if l.Message == "serving" {
			addr, _ := l.Fields["PeerAddr"].(string)
			delete(holders, addr)
		}
	}
	for _, addr := range sortedKeys(holders) {
		out = append(out, "the start of the host at "+addr+"; its log is missing or begins later")
	}
	return out
}

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
