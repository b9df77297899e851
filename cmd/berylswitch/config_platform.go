package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"berylswitch.example/berylswitch/internal/settings"
	"berylswitch.example/berylswitch/pkg/declaration"
	"berylswitch.example/berylswitch/platform"
)

// configCheckPlatform checks a configuration of the users' platform without connecting to
// its store.
type configCheckPlatform struct {
	Against  string `long:"against" value-name:"FILE" description:"the configuration in force; the differences from it are printed"`
	Settings string `long:"settings" value-name:"FILE" description:"the settings of a host, JSON with comments; limits and home regions are checked against them"`
	JSON     bool   `long:"json" description:"print one JSON object per finding"`
	Args     struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// exitWarnings is the exit code of a check that found warnings but no errors.
const exitWarnings = 6

// Execute runs the command.
func (c *configCheckPlatform) Execute([]string) error {
	findings, err := c.findings()
	if err != nil {
		return err
	}
	count := map[platform.Severity]int{}
	for _, f := range findings {
		count[f.Severity]++
		if err := c.print(f); err != nil {
			return err
		}
	}
	errs, warnings := count[platform.SeverityError], count[platform.SeverityWarning]
	summary := fmt.Errorf("%s: %d errors, %d warnings", c.Args.File, errs, warnings)
	switch {
	case errs > 0:
		return &exitError{exitInvalid, summary}
	case warnings > 0:
		return &exitError{exitWarnings, summary}
	default:
		return nil
	}
}

// findings reads the files and checks the configuration.
func (c *configCheckPlatform) findings() ([]platform.Finding, error) {
	check := platform.ConfigCheck{File: c.Args.File, AgainstFile: c.Against}
	var err error
	if check.Text, err = os.ReadFile(c.Args.File); err != nil {
		return nil, err
	}
	if c.Against != "" {
		if check.Against, err = os.ReadFile(c.Against); err != nil {
			return nil, err
		}
	}
	if c.Settings != "" {
		check.Settings, err = settings.LoadGateway(c.Settings)
		if problems := (declaration.Problems)(nil); errors.As(err, &problems) {
			// A problem may quote the text, which holds API keys if the files are swapped.
			return nil, fmt.Errorf("%s: the settings are invalid; 'berylswitch gateway --check --settings %s' prints why", c.Settings, c.Settings)
		}
		if err != nil {
			return nil, err
		}
	}
	return check.Run()
}

func (c *configCheckPlatform) print(f platform.Finding) error {
	if !c.JSON {
		_, err := fmt.Println(f)
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(f)
}
