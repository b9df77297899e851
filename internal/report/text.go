package report

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// percent converts a share to a percentage.
const percent = 100

// WriteText writes s as text tables.
func WriteText(w io.Writer, s *Summary) error {
	fmt.Fprintf(w, "Hosts: %v, since %s\n", s.Hosts, s.Since.UTC().Format(time.RFC3339))
	if len(s.Silent) > 0 {
		fmt.Fprintf(w, "No report from: %v (their requests are missing below)\n", s.Silent)
	}
	fmt.Fprintln(w, "\nService-level burn (1.0 spends the error budget exactly over its period)")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "Workspace\tPipeline\tObjective\t")
	for _, win := range windows {
		fmt.Fprintf(t, "%s\t", lengthText(win.length))
	}
	fmt.Fprintln(t, "Answered in time\tBudget left\tAlert\t")
	for i := range s.Levels {
		writeLevel(t, &s.Levels[i])
	}
	t.Flush()
	fmt.Fprintln(w, "\nCost by stage (target time)")
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Pipeline\tStage\tRequests\tAttempts\tCost\tShare\tEach\tExtra\tQueued each\tRan p50\tRan p99\tCached tokens\t")
	for i := range s.Stages {
		writeStage(t, &s.Stages[i])
	}
	return t.Flush()
}

func writeLevel(w io.Writer, l *LevelSummary) {
	fmt.Fprintf(w, "%s\t%s\t%g%%\t", l.Workspace, l.Pipeline, l.Objective*percent)
	for i := range l.Windows {
		fmt.Fprintf(w, "%.2f\t", l.Windows[i].Burn)
	}
	longest := l.Windows[threeDays]
	fmt.Fprintf(w, "%d of %d\t%.1f%%\t%s\t\n", longest.Good, longest.Total, l.BudgetLeft*percent, l.Alert)
}

func writeStage(w io.Writer, s *StageSummary) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%.0f%%\t%s\t%s\t%s\t%s\t%s\t%d of %d\t\n",
		s.Pipeline, s.Stage, s.Requests, s.Attempts, rounded(s.Cost), s.CostShare*percent,
		rounded(s.EachCost), rounded(s.Extra), rounded(s.EachQueued), rounded(s.RanP50), rounded(s.RanP99),
		s.CachedTokens, s.PromptTokens)
}

// lengthText formats the length of a window in its largest whole unit.
func lengthText(d time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case d >= day:
		return fmt.Sprintf("%dd", d/day)
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}

func rounded(d time.Duration) time.Duration {
	if d < time.Second {
		return d.Round(10 * time.Microsecond)
	}
	return d.Round(10 * time.Millisecond)
}
