package migration

// moveGraph is the directed graph of the clusters with the pending moves as edges.
type moveGraph struct {
	paths    map[[2]string]bool // pairs where one or more moves in a row lead from the first to the second
	incoming map[string]Amount  // total of the pending moves, by destination
}

// moveGraph returns the graph of the pending moves. Its paths are the transitive closure.
func (p *planner) moveGraph() moveGraph {
	graph := moveGraph{
		paths:    map[[2]string]bool{},
		incoming: map[string]Amount{},
	}
	for _, m := range p.pending {
		graph.paths[[2]string{m.From, m.To}] = true
		graph.incoming[m.To] += m.Amount
	}
	for _, via := range p.names {
		for _, from := range p.names {
			graph.extend(p.names, from, via)
		}
	}
	return graph
}

// extend adds the paths from one cluster via another to all clusters that the latter reaches.
func (g *moveGraph) extend(names []string, from, via string) {
	for _, to := range names {
		if g.reaches(from, via) && g.reaches(via, to) {
			g.paths[[2]string{from, to}] = true
		}
	}
}

func (g *moveGraph) reaches(from, to string) bool { return g.paths[[2]string{from, to}] }

// onCycle reports whether pending moves lead back from a move's destination to its source.
func (g *moveGraph) onCycle(key Key) bool { return g.reaches(key.To, key.From) }

// trueFirst compares two conditions so that a true one is sorted before a false one.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
