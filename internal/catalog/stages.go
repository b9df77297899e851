package catalog

import "github.com/zeebo/errs"

// StageOrder returns the indices of stages in an order in which each one comes after those
// whose results it reads; their numbers need not be in such an order. It is an error if a
// stage reads the results of one that doesn't exist, or its own through others.
func StageOrder(stages []Stage) ([]int, error) {
	o := stageOrder{stages: stages, states: make([]visitState, len(stages))}
	for i := range stages {
		if err := o.visit(i); err != nil {
			return nil, err
		}
	}
	return o.order, nil
}

// stageOrder collects the stages in order, by a search in depth.
type stageOrder struct {
	stages []Stage
	states []visitState
	order  []int
}

// visitState is how far the search has come with a stage.
type visitState int8

const (
	unvisited visitState = iota
	visiting
	visited
)

// visit appends stage i to the order after the stages that it depends on.
func (o *stageOrder) visit(i int) error {
	if o.states[i] == visited {
		return nil
	}
	o.states[i] = visiting
	for _, before := range o.stages[i].After {
		if before < 0 || before >= len(o.stages) {
			return errs.New("stage %d needs stage %d, which does not exist", i, before)
		}
		if o.states[before] == visiting {
			return errs.New("stage %d needs stage %d, which needs it in turn", i, before)
		}
		if err := o.visit(before); err != nil {
			return err
		}
	}
	o.states[i] = visited
	o.order = append(o.order, i)
	return nil
}
