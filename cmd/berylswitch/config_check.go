package main

import (
	"fmt"

	"berylswitch.example/berylswitch/pkg/declaration"
)

// configCheck checks files without connecting to the log or a host.
type configCheck struct {
	Rule int `long:"rule" default:"1" description:"rule version that is in force"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *configCheck) Execute([]string) error {
	files, problems, err := declaration.ReadFiles(c.Rule, c.Args.Files...)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d problems\n%w", len(problems), problems)
	}
	v := declaration.NewView(files.Document)
	fmt.Printf("ok: %d sections, %d pipelines, %d workspaces, %d pools, %d targets\n",
		len(files.SectionTexts), len(v.Pipelines), len(v.Workspaces), len(v.Pools), len(v.Targets))
	return nil
}
