// Berylstand runs stand-ins for the platform's services and for targets as
// processes, to try out and test berylswitch.
package main

import "berylswitch.example/berylswitch/internal/standin/process"

func main() { process.Main() }
