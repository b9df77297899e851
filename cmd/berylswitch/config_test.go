package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// doStatus implements the command "status" of the process scripts.
func doStatus(_ *testscript.TestScript, _ *processScript, args []string) error {
	c := configStatus{connectionFlags: connectionFlags{Hosts: args[:1], Timeout: waitTimeout}, ctx: context.Background()}
	replies, err := c.collectStatus(c.ctx)
	if err == nil && strconv.Itoa(len(replies)) != args[1] {
		err = fmt.Errorf("%d hosts, not %s", len(replies), args[1])
	}
	if err != nil {
		return err
	}
	return c.Execute(nil)
}
