package deferred

import (
	"math"
	"slices"
)

// check validates a job and does not change the store. It sorts the job's dependencies and removes duplicates.
func (s *Store) check(now float64, job *Job) error {
	if err := checkNotBefore(now, job); err != nil {
		return err
	}
	job.DependsOn = slices.Clone(job.DependsOn)
	slices.Sort(job.DependsOn)
	job.DependsOn = slices.Compact(job.DependsOn)
	if len(job.DependsOn) > s.Parents {
		return invalidDependency("names %d jobs, at most %d", len(job.DependsOn), s.Parents)
	}
	depth, unknown, err := s.checkParents(job)
	if err != nil {
		return err
	}
	if depth+1 > s.Depth {
		return s.chainTooLong()
	}
	if err := s.checkDescendants(job, depth+1); err != nil {
		return err
	}
	return s.checkLimits(job, unknown)
}

func checkNotBefore(now float64, job *Job) error {
	if math.IsNaN(job.NotBefore) || math.IsInf(job.NotBefore, 0) || job.NotBefore < 0 {
		return &InvalidDependencyError{Field: fieldNotBefore, Reason: "not a time"}
	}
	if job.NotBefore >= job.Deadline && job.NotBefore > now {
		return &InvalidDependencyError{Field: fieldNotBefore, Reason: "after the job's own deadline"}
	}
	return nil
}

// checkParents returns the depth of the deepest deferred parent and the number of parents that the store has no
// entry for.
func (s *Store) checkParents(job *Job) (depth, unknown int, err error) {
	for _, id := range job.DependsOn {
		if id == job.ID {
			return 0, 0, invalidDependency("names the job itself")
		}
		parent := s.byID[id]
		if parent == nil {
			unknown++
			continue
		}
		if parent.state == ended && parent.outcome != Served {
			return 0, 0, &ParentFailedError{Cause{Parent: id, Outcome: parent.outcome}}
		}
		if parent.state == deferred {
			depth = max(depth, parent.depth)
		}
	}
	return depth, unknown, nil
}

func (s *Store) chainTooLong() error {
	return invalidDependency("a chain of more than %d waiting jobs", s.Depth)
}

func (s *Store) checkLimits(job *Job, unknown int) error {
	switch {
	case s.stats.Waiting >= s.Jobs:
		return &LimitError{Resource: "jobs"}
	case s.stats.Bytes+job.Size > s.Bytes:
		return &LimitError{Resource: "bytes of jobs"}
	case s.stats.UnknownParents+unknown > s.UnknownParents:
		return &LimitError{Resource: "jobs for ids that have not come"}
	}
	return nil
}

// maxDescendantsVisited limits how many jobs that depend on an arriving one are searched.
const maxDescendantsVisited = 4096

// checkDescendants searches the jobs that already depend on an arriving one. None of them may be among its
// parents, which would be a cycle, and no chain may become longer than the Depth limit.
func (s *Store) checkDescendants(job *Job, depth int) error {
	root := s.byID[job.ID]
	if root == nil || len(root.children) == 0 {
		return nil
	}
	s.visits++
	visited := 0
	level := root.children
	for levelDepth := depth + 1; len(level) > 0; levelDepth++ {
		var next []*entry
		for _, e := range level {
			if e.state != deferred || e.visit == s.visits {
				continue
			}
			e.visit = s.visits
			visited++
			if visited > maxDescendantsVisited {
				return invalidDependency("more than %d jobs wait for this one already", maxDescendantsVisited)
			}
			if slices.Contains(job.DependsOn, e.id) {
				return invalidDependency("a circle: job %s waits for this one", e.id)
			}
			next = append(next, e.children...)
		}
		if levelDepth > s.Depth {
			return s.chainTooLong()
		}
		level = next
	}
	return nil
}

// updateDepths sets the depth of an arriving job and of the jobs that already depend on it.
func (s *Store) updateDepths(added *entry) {
	work := []*entry{added}
	for len(work) > 0 {
		e := work[len(work)-1]
		work = work[:len(work)-1]
		depth := 1
		for _, parent := range e.parents {
			if parent.state == deferred {
				depth = max(depth, parent.depth+1)
			}
		}
		if depth <= e.depth {
			continue
		}
		e.depth = depth
		for _, child := range e.children {
			if child.state == deferred {
				work = append(work, child)
			}
		}
	}
}
