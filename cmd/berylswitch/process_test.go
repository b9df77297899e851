package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"berylswitch.example/berylswitch/internal/link"
	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/internal/section"
	"berylswitch.example/berylswitch/internal/standin"
	"berylswitch.example/berylswitch/pkg/caller"
	"berylswitch.example/berylswitch/pkg/declaration"
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

// waitTimeout limits the wait for a condition. It is not a requirement on how
// fast something must be.
const waitTimeout = 60 * time.Second

// TestProcesses runs the scripts of testdata/process, each with processes of
// its own. Besides the commands of testscript they use
//
//	ports NAME...                      sets variables to unused addresses
//	expand FILE                        expands $NAME in the file
//	start NAME PROGRAM ARG...          starts a process; its output goes to NAME.out
//	startpiped NAME PROGRAM ARG...     is start with a pipe for the output
//	unread NAME                        closes the reading end of that pipe
//	signal NAME KILL|STOP|CONT|TERM|HUP|INT
//	hold FILE                          lets processes that read the file wait
//	reading FILE                       waits until a process reads the held file
//	release FILE                       lets it read on
//	exited NAME CODE                   waits for a process to exit with CODE
//	publish LOG FILE                   appends the section in FILE to the log
//	get ADDR PATH TEXT                 expects 200 and TEXT in the body
//	getanew ADDR PATH                  expects 200 over a new connection
//	crowd ADDR N TEXT                  connects N callers that send TEXT and stay
//	control ADDR JSON                  sets the faults of a stand-in
//	post ADDR PIPELINE KEY BODY WANT   expects the result WANT; - means no key
//	stream NAME ADDR PIPELINE BODY     starts a streamed request
//	streamed NAME WANT PIECES          waits until it is complete; expects WANT and PIECES
//	streaming NAME                     expects that a piece has arrived
//	connect NAME ADDR                  opens a connection
//	request NAME PATH                  sends a GET request on it
//	answered NAME TEXT                 expects 200 and TEXT in the body of its response
//	runs ADDR KEY N                    expects that a target ran KEY N times
//	key NAME                           sets a variable to a new idempotency key
//	output FILE TEXT                   expects TEXT in the file
//	lines FILE WORD                    runs the lines of FILE that begin with WORD in a shell
//	status PEERADDR N                  expects one offset in force at all N hosts
//	await COMMAND...                   repeats a command until it succeeds
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/process",
		Setup: func(env *testscript.Env) error {
			s := &processScript{processes: map[string]*os.Process{}, exitCodes: map[string]chan int{}, streams: map[string]*streamedRequest{}, held: map[string]*heldFile{}, outputs: map[string]*os.File{}, conns: map[string]net.Conn{}}
			env.Values[scriptKey{}] = s
			env.Defer(s.killAll)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports": scriptCommand(doPorts), "expand": scriptCommand(doExpand), "start": scriptCommand(doStart), "signal": scriptCommand(doSignal),
			"exited": scriptCommand(doExited), "publish": scriptCommand(doPublish), "get": scriptCommand(doGet), "control": scriptCommand(doControl),
			"post": scriptCommand(doPost), "stream": scriptCommand(doStream), "streamed": scriptCommand(doStreamed),
			"streaming": scriptCommand(doStreaming), "runs": scriptCommand(doRuns), "await": scriptCommand(doAwait),
			"status": scriptCommand(doStatus), "key": scriptCommand(doKey), "output": scriptCommand(doOutput), "lines": scriptCommand(doLines),
			"hold": scriptCommand(doHold), "reading": scriptCommand(doReading), "release": scriptCommand(doRelease),
			"startpiped": scriptCommand(doStartPiped), "unread": scriptCommand(doUnread),
			"crowd": scriptCommand(doCrowd), "getanew": scriptCommand(doGetAnew),
			"connect": scriptCommand(doConnect), "request": scriptCommand(doRequest), "answered": scriptCommand(doAnswered),
		},
	})
}

type scriptKey struct{}

// processScript holds the state of one script.
type processScript struct {
	processes map[string]*os.Process
	exitCodes map[string]chan int // receives the exit code
	streams   map[string]*streamedRequest
	held      map[string]*heldFile // by name of the file
	outputs   map[string]*os.File  // the pipes from processes, by name of the process
	conns     map[string]net.Conn
}

// killAll kills the processes that the script left running, and closes its connections.
func (s *processScript) killAll() {
	for _, c := range s.conns {
		c.Close()
	}
	for _, p := range s.processes {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
}

// step implements a command of the scripts. Its error lets await try again.
type step func(ts *testscript.TestScript, s *processScript, args []string) error

func scriptCommand(f step) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := f(ts, ts.Value(scriptKey{}).(*processScript), args)
		if neg && err == nil {
			ts.Fatalf("succeeded unexpectedly")
		}
		if !neg {
			ts.Check(err)
		}
	}
}

// awaitable holds the commands that await can repeat.
var awaitable = map[string]step{"get": doGet, "post": doPost, "runs": doRuns, "streaming": doStreaming, "publish": doPublish, "output": doOutput, "status": doStatus}

func doAwait(ts *testscript.TestScript, s *processScript, args []string) error {
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		err := awaitable[args[0]](ts, s, args[1:])
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

// lastPort is the last port that a script was given, counted from firstPort.
var lastPort atomic.Uint32

// firstPort is below the machine's ephemeral ports.
const firstPort = 20000

// doPorts assigns ports of a loopback address that only this process uses, so
// that a port stays free until its script binds it, also again after a kill.
func doPorts(ts *testscript.TestScript, _ *processScript, args []string) error {
	pid := os.Getpid()
	loopback := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16), byte(pid >> 8), byte(pid)})
	for _, name := range args {
		ts.Setenv(name, netip.AddrPortFrom(loopback, uint16(firstPort+lastPort.Add(1))).String())
	}
	return nil
}

func doKey(ts *testscript.TestScript, _ *processScript, args []string) error {
	key, err := uuid.NewV7()
	ts.Setenv(args[0], key.String())
	return err
}

func doOutput(ts *testscript.TestScript, _ *processScript, args []string) error {
	if !strings.Contains(ts.ReadFile(args[0]), args[1]) {
		return fmt.Errorf("no %q in %s", args[1], args[0])
	}
	return nil
}

func doLines(ts *testscript.TestScript, _ *processScript, args []string) error {
	n := 0
	for _, line := range strings.Split(ts.ReadFile(args[0]), "\n") {
		if !strings.HasPrefix(line, args[1]+" ") {
			continue
		}
		n++
		out, err := exec.Command("sh", "-c", line+" --fail-with-body").CombinedOutput()
		if err != nil {
			return fmt.Errorf("%s: %w: %s", line, err, out)
		}
		ts.Logf("%s\n%s", line, out)
	}
	if n == 0 {
		return fmt.Errorf("no line of %s begins with %s", args[0], args[1])
	}
	return nil
}

func doExpand(ts *testscript.TestScript, _ *processScript, args []string) error {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	return os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o644)
}

func doStart(ts *testscript.TestScript, s *processScript, args []string) error {
	out, err := os.OpenFile(ts.MkAbs(args[0]+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	return s.startProcess(ts, args, out)
}

// startProcess starts a process, named by the first of args, whose output goes to out.
func (s *processScript) startProcess(ts *testscript.TestScript, args []string, out *os.File) error {
	name, program := args[0], args[1]
	cmd := exec.Command(programPath(ts, program), args[2:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = ts.MkAbs("."), out, out
	cmd.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"))
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan int, 1)
	s.processes[name], s.exitCodes[name] = cmd.Process, ended
	go func() {
		cmd.Wait()
		ended <- cmd.ProcessState.ExitCode()
	}()
	return nil
}

// programPath finds a program in the script's PATH.
func programPath(ts *testscript.TestScript, program string) string {
	for _, dir := range strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		if file := dir + "/" + program; isFile(file) {
			return file
		}
	}
	return program
}

func isFile(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.Mode().IsRegular()
}

var signals = map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP, "INT": syscall.SIGINT}

func doSignal(_ *testscript.TestScript, s *processScript, args []string) error {
	p := s.processes[args[0]]
	if err := p.Signal(signals[args[1]]); err != nil || args[1] != "STOP" {
		return err
	}
	for end := time.Now().Add(waitTimeout); !stopped(p.Pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s has not stopped", args[0])
		}
	}
	return nil
}

// stopped reports whether every thread of a process is stopped; a signal takes
// time to reach them all.
func stopped(pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, file := range stats {
		text, err := os.ReadFile(file)
		if err == nil && !bytes.Contains(text, []byte(") T ")) {
			return false
		}
	}
	return err == nil && len(stats) > 0
}

func doExited(ts *testscript.TestScript, s *processScript, args []string) error {
	select {
	case code := <-s.exitCodes[args[0]]:
		if strconv.Itoa(code) != args[1] {
			return fmt.Errorf("%s exited with %d, not %s:\n%s", args[0], code, args[1], ts.ReadFile(args[0]+".out"))
		}
		delete(s.processes, args[0])
		return nil
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s has not exited", args[0])
	}
}

func doPublish(ts *testscript.TestScript, _ *processScript, args []string) error {
	text := []byte(ts.ReadFile(args[1]))
	data, err := json.Marshal(declaration.Change{RuleVersion: declaration.FirstRule, Section: "Test", Author: "test", Text: text})
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(args[0])
	if err != nil {
		return err
	}
	_, err = platform.NewClient(link.TCP{}, addr, addr).Append(context.Background(), platform.ConfigStream,
		[]platform.Entry{{ID: uuid.NewString(), Kind: section.ChangeKind, Data: data}})
	return err
}

// fetch sends a request and returns the body of a 200 response.
func fetch(method, url string, body io.Reader) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, text)
	}
	return text, err
}

func doGet(_ *testscript.TestScript, _ *processScript, args []string) error {
	text, err := fetch(http.MethodGet, "http://"+args[0]+args[1], nil)
	if err == nil && !bytes.Contains(text, []byte(args[2])) {
		err = fmt.Errorf("no %q in %s", args[2], text)
	}
	return err
}

func doControl(_ *testscript.TestScript, _ *processScript, args []string) error {
	_, err := fetch(http.MethodPost, "http://"+args[0]+standin.ControlPath, strings.NewReader(args[1]))
	return err
}

func doRuns(_ *testscript.TestScript, _ *processScript, args []string) error {
	text, err := fetch(http.MethodGet, "http://"+args[0]+standin.ControlPath, nil)
	if err != nil {
		return err
	}
	var status standin.TargetStatus
	if err := json.Unmarshal(text, &status); err != nil {
		return err
	}
	if got := strconv.Itoa(status.Runs[args[1]]); got != args[2] {
		return fmt.Errorf("key %s ran %s times, not %s", args[1], got, args[2])
	}
	return nil
}

func pipelineURL(addr, pipeline string) string {
	return "http://" + addr + "/v1/workspaces/W/pipelines/" + pipeline
}

func doPost(ts *testscript.TestScript, _ *processScript, args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	key := strings.TrimPrefix(args[2], "-")
	a, err := postRequest(ctx, http.DefaultClient, pipelineURL(args[0], args[1]), key, args[3])
	if err != nil {
		return err
	}
	ts.Logf("%s: %s %s", args[1], a.Name, a.Message)
	if a.Name != args[4] {
		return fmt.Errorf("the result is %d %s (ran: %s): %s", int(a.Code), a.Name, a.Ran, a.Message)
	}
	return nil
}

// streamedRequest is a streamed request in progress.
type streamedRequest struct {
	mu     sync.Mutex
	pieces int
	answer *caller.Answer
	err    error
	done   chan struct{}
}

func doStream(_ *testscript.TestScript, s *processScript, args []string) error {
	st := &streamedRequest{done: make(chan struct{})}
	s.streams[args[0]] = st
	go func() {
		defer close(st.done)
		st.err = st.read(pipelineURL(args[1], args[2]), args[3])
	}()
	return nil
}

func (st *streamedRequest) read(url, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Accept", caller.StreamType)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	for next := 0; ; next++ {
		var e caller.Event
		if err := dec.Decode(&e); err != nil {
			return fmt.Errorf("after %d pieces: %w", next, err)
		}
		if e.Answer != nil {
			st.answer = e.Answer
			return nil
		}
		if e.Seq != next {
			return fmt.Errorf("got piece %d, expected %d", e.Seq, next)
		}
		st.mu.Lock()
		st.pieces++
		st.mu.Unlock()
	}
}

func doStreaming(_ *testscript.TestScript, s *processScript, args []string) error {
	st := s.streams[args[0]]
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.pieces == 0 {
		return fmt.Errorf("no piece of %s has arrived", args[0])
	}
	return nil
}

func doStreamed(_ *testscript.TestScript, s *processScript, args []string) error {
	st := s.streams[args[0]]
	<-st.done
	if st.err != nil {
		return st.err
	}
	if got := fmt.Sprint(st.answer.Name, " ", st.pieces); got != args[1]+" "+args[2] {
		return fmt.Errorf("the stream ended with %s: %s", got, st.answer.Message)
	}
	return nil
}
