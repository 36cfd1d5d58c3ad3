package fault

// textSearch counts the occurrences of a text in a stream by the algorithm of
// Knuth, Morris and Pratt.
type textSearch struct {
	text    string
	failure []int // by length of a matched prefix minus 1: the length of its longest border
	matched int   // length of the prefix that matches the last bytes
	found   int   // complete occurrences, which may overlap
}

func newTextSearch(text string) *textSearch {
	s := &textSearch{text: text, failure: make([]int, len(text))}
	border := 0
	for i := 1; i < len(text); i++ {
		for border > 0 && text[i] != text[border] {
			border = s.failure[border-1]
		}
		if text[i] == text[border] {
			border++
		}
		s.failure[i] = border
	}
	return s
}

// step processes one byte.
func (s *textSearch) step(b byte) {
	for s.matched > 0 && b != s.text[s.matched] {
		s.matched = s.failure[s.matched-1]
	}
	if b == s.text[s.matched] {
		s.matched++
	}
	if s.matched == len(s.text) {
		s.found++
		s.matched = s.failure[s.matched-1]
	}
}
