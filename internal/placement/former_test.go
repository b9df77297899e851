package placement

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// formerOpenRequests, formerNews and formerReport are the messages of hosts that count no
// events.
type (
	formerOpenRequests struct{ Waiting, Begun []string }
	formerNews         struct {
		ID, Service string
		Progress    Progress
	}
	formerReport struct {
		Host string
		News []formerNews
		Open *formerOpenRequests
	}
)

// transcode encodes in and decodes it into out, as net/rpc does.
func transcode(t *testing.T, in, out any) {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(in); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&b).Decode(out); err != nil {
		t.Fatal(err)
	}
}

// TestFormerVersion expects reports to be read by hosts of this version and the former one
// alike, so that both run beside each other while hosts are replaced.
func TestFormerVersion(t *testing.T) {
	former := formerReport{Host: "h", News: []formerNews{{"1", "s", Answered}}, Open: &formerOpenRequests{[]string{"2"}, []string{"3"}}}
	present := Report{Host: "h", News: []News{{ID: "1", Service: "s", Progress: Answered}}, Open: &OpenRequests{Waiting: []string{"2"}, Begun: []string{"3"}}}
	var gotPresent Report
	transcode(t, former, &gotPresent)
	if diff := cmp.Diff(present, gotPresent); diff != "" {
		t.Errorf("report of the former version (-want +got):\n%s", diff)
	}
	present.News[0].Events, present.Open.Events = 7, []int{8}
	present.Moved = []MovedRequest{{Work: Work{ID: "3"}, Choice: Choice{Target: "a", Born: 1}}}
	var gotFormer formerReport
	transcode(t, present, &gotFormer)
	if diff := cmp.Diff(former, gotFormer); diff != "" {
		t.Errorf("report read by the former version (-want +got):\n%s", diff)
	}
}
