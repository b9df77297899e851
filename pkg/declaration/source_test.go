package declaration

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestReadSourceOfReplacedFile replaces a file by another one after ReadSource has opened
// it. Opened by its name a second time, the file was the new one, which may be
// incomplete or missing, and the size of the old one was checked.
func TestReadSourceOfReplacedFile(t *testing.T) {
	for range 20 {
		src, err := readPipe(t, `{"Old": true}`)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(`{"Old": true}`, string(src.text)); diff != "" {
			t.Fatalf("text (-want +got):\n%s", diff)
		}
	}
}

// TestReadSourceOfPipeIsBounded checks that the size of a text is limited also if the
// file doesn't tell it before it is read. The whole text was read into memory.
func TestReadSourceOfPipeIsBounded(t *testing.T) {
	if _, err := readPipe(t, strings.Repeat(" ", MaxTextBytes+1)); err == nil {
		t.Error("a text above the limit was read")
	}
}

// readPipe reads the source from a named pipe to which text is written. Another file
// takes the pipe's name as soon as ReadSource has opened it.
func readPipe(t *testing.T, text string) (*Source, error) {
	t.Helper()
	file, other := filepath.Join(t.TempDir(), "source"), filepath.Join(t.TempDir(), "other")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(other, []byte(`{"New": true}`), 0o600); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() {
		w, err := os.OpenFile(file, os.O_WRONLY, 0)
		if err == nil {
			err = os.Rename(other, file)
		}
		if err == nil {
			// A reader that has enough closes the pipe.
			w.WriteString(text)
			err = w.Close()
		}
		written <- err
	}()
	src, err := ReadSource(file)
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	return src, err
}
