package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// doCrowd connects callers that send a text, in which \r\n stands for the end of a line,
// and stay connected until the script ends.
func doCrowd(ts *testscript.TestScript, _ *processScript, args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	text := strings.ReplaceAll(args[2], `\r\n`, "\r\n")
	for range n {
		conn, err := net.Dial("tcp", args[0])
		if err != nil {
			return err
		}
		ts.Defer(func() { conn.Close() })
		// An error means that the host has closed the connection, which it may.
		_, _ = io.WriteString(conn, text)
	}
	return nil
}

// doGetAnew is get over a new connection.
func doGetAnew(_ *testscript.TestScript, _ *processScript, args []string) error {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + args[0] + args[1])
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %s", resp.Status)
		}
		if time.Now().After(end) {
			return err
		}
	}
}
