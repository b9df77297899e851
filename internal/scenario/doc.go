// Package scenario tests whole hosts in virtual time. A scenario is a script
// under testdata: it declares pools, pipelines and targets, starts hosts over
// links in memory, lets callers send requests, makes things fail, and states
// what callers and targets must have seen. The commands are listed in
// script_test.go; README.md in this directory shows a script.
//
// The fuzz test draws the same operations at random. Both end with the same
// oracle, which knows only what callers sent and were told, and which runs
// reached which target at what time.
package scenario
