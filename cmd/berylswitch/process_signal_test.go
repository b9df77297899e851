package main

import (
	"fmt"
	"io"
	"os"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// doHold replaces a file by a pipe, so that a process that reads it waits until
// release.
func doHold(ts *testscript.TestScript, s *processScript, args []string) error {
	file := ts.MkAbs(args[0])
	s.held[args[0]] = &heldFile{text: ts.ReadFile(args[0])}
	if err := os.Remove(file); err != nil {
		return err
	}
	return syscall.Mkfifo(file, 0o600)
}

// heldFile is a file that processes can't read yet.
type heldFile struct {
	text string
	pipe *os.File
}

// doReading waits until a process reads the held file.
func doReading(ts *testscript.TestScript, s *processScript, args []string) (err error) {
	s.held[args[0]].pipe, err = os.OpenFile(ts.MkAbs(args[0]), os.O_WRONLY, 0)
	return err
}

// doRelease gives the process that reads the held file its text, and makes it a file
// again.
func doRelease(ts *testscript.TestScript, s *processScript, args []string) error {
	file, held := ts.MkAbs(args[0]), s.held[args[0]]
	if err := os.Remove(file); err != nil {
		return err
	}
	if err := os.WriteFile(file, []byte(held.text), 0o600); err != nil {
		return err
	}
	if _, err := held.pipe.WriteString(held.text); err != nil {
		return fmt.Errorf("the process no longer reads %s: %w", args[0], err)
	}
	return held.pipe.Close()
}

// doStartPiped is doStart with a pipe for the output, which unread closes.
func doStartPiped(ts *testscript.TestScript, s *processScript, args []string) error {
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	defer w.Close()
	out, err := os.Create(ts.MkAbs(args[0] + ".out"))
	if err != nil {
		return err
	}
	s.outputs[args[0]] = r
	go func() {
		defer out.Close()
		io.Copy(out, r)
	}()
	return s.startProcess(ts, args, w)
}

// doUnread closes the reading end of a process's output.
func doUnread(_ *testscript.TestScript, s *processScript, args []string) error {
	return s.outputs[args[0]].Close()
}
