package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// doConnect opens a connection on which nothing is sent yet.
func doConnect(_ *testscript.TestScript, s *processScript, args []string) (err error) {
	s.conns[args[0]], err = net.Dial("tcp", args[1])
	return err
}

// doRequest sends a request without a body on a connection.
func doRequest(_ *testscript.TestScript, s *processScript, args []string) error {
	_, err := fmt.Fprintf(s.conns[args[0]], "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", args[1])
	return err
}

// doAnswered expects the text in the body of a 200 response on a connection.
func doAnswered(_ *testscript.TestScript, s *processScript, args []string) error {
	conn := s.conns[args[0]]
	conn.SetReadDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || !strings.Contains(string(text), args[1])) {
		err = fmt.Errorf("%s: %s", resp.Status, text)
	}
	return err
}
