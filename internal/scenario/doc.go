// Package scenario tests whole hosts in virtual time. A scenario is a script
// under testdata: it declares pools, pipelines and targets, starts hosts on an
// in-memory network, sends requests, injects faults, and states what callers and
// targets must have received. The commands are listed at script.command in
// script_test.go.
//
// The fuzz test draws the same operations at random. Both kinds of test end with
// the same oracle, which knows only what callers sent and received, and which
// runs reached which target at what time.
package scenario
