package queue

import "fmt"

// Policy is a way to choose targets.
type Policy interface{ isPolicy() }

// Random picks a usable target at random.
type Random struct{}

// LeastOfTwo picks the less loaded of two random targets, by this host's counts of
// outstanding attempts.
type LeastOfTwo struct{}

// LeastOfTwoExchanged is LeastOfTwo by the counts of all hosts, which exchange
// them.
type LeastOfTwoExchanged struct{}

// OwnShare gives each host its share of the slots, behind queues for short and
// long work that are ordered by priority and deadline.
type OwnShare struct{}

// SharedQueue keeps the queue of each shard of a pool at one host, its holder.
type SharedQueue struct{}

func (Random) isPolicy()              {}
func (LeastOfTwo) isPolicy()          {}
func (LeastOfTwoExchanged) isPolicy() {}
func (OwnShare) isPolicy()            {}
func (SharedQueue) isPolicy()         {}

// PolicyNames lists the names that ParsePolicy accepts.
var PolicyNames = []string{"Random", "LeastOfTwo", "LeastOfTwoExchanged", "OwnShare", "SharedQueue"}

// ParsePolicy returns the policy of a name in the settings; the empty name means
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
	return nil, fmt.Errorf("unknown policy %q; must be one of %v", name, PolicyNames)
}
