package queue

import "fmt"

// Policy is a way to choose targets.
type Policy interface{ isPolicy() }

// Random picks any usable target.
type Random struct{}

// LeastOfTwo picks the less loaded of two random targets by this host's counts.
type LeastOfTwo struct{}

// LeastOfTwoExchanged does so by the counts of all hosts, which tell each other
// theirs.
type LeastOfTwoExchanged struct{}

// OwnShare gives each host its share of the slots, behind a queue by class and
// deadline.
type OwnShare struct{}

// SharedQueue keeps one queue for each shard of a pool at one host.
type SharedQueue struct{}

func (Random) isPolicy()              {}
func (LeastOfTwo) isPolicy()          {}
func (LeastOfTwoExchanged) isPolicy() {}
func (OwnShare) isPolicy()            {}
func (SharedQueue) isPolicy()         {}

// PolicyNames lists the names that ParsePolicy knows.
var PolicyNames = []string{"Random", "LeastOfTwo", "LeastOfTwoExchanged", "OwnShare", "SharedQueue"}

// ParsePolicy returns the policy that the settings name; the empty name is
// SharedQueue.
func ParsePolicy(name string) (Policy, error) {
	switch name {
	case "Random":
		return Random{}, nil
	case "LeastOfTwo":
		return LeastOfTwo{}, nil
	case "LeastOfTwoExchanged":
		return LeastOfTwoExchanged{}, nil
	case "OwnShare":
		return OwnShare{}, nil
	case "SharedQueue", "":
		return SharedQueue{}, nil
	}
	return nil, fmt.Errorf("%q is no policy; the policies are %v", name, PolicyNames)
}
