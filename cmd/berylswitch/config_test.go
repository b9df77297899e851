package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// doStatus is the step "status" of the process scripts.
func doStatus(_ *testscript.TestScript, _ *processScript, args []string) error {
	c := configStatus{connection: connection{Hosts: args[:1], Timeout: patience}, ctx: context.Background()}
	replies, err := c.askAll(c.ctx)
	if err == nil && strconv.Itoa(len(replies)) != args[1] {
		err = fmt.Errorf("%d hosts, not %s", len(replies), args[1])
	}
	if err != nil {
		return err
	}
	return c.Execute(nil)
}
