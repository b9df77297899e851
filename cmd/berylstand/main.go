// Berylstand runs the stand-ins of the platform's services and of targets as
// processes, for trying and testing berylswitch.
package main

import "berylswitch.example/berylswitch/internal/standin/process"

func main() { process.Main() }
