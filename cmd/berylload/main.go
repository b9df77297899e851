// Berylload sends load to hosts on loopback in an open loop, checks every
// answer, and measures what a host adds to calling a target directly. It exits
// with 1 when a request was lost, run twice, answered with another request's
// result or falsely refused.
package main

import "berylswitch.example/berylswitch/internal/load/process"

func main() { process.Main() }
