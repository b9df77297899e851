package result

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestDocumentedTable checks that the table in docs/RESULT-CODES.md matches
// Table.
func TestDocumentedTable(t *testing.T) {
	src, err := os.ReadFile("../../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, line := range strings.Split(string(src), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| Code") {
			got = append(got, line)
		}
	}
	var want []string
	for _, row := range Table {
		want = append(want, fmt.Sprintf("| %d | %s | %d | %s | %s |", int(row.Code), row.Name, row.HTTPStatus, row.Ran, row.Meaning))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the documented table differs from the code (-code +document):\n%s", diff)
	}
}
