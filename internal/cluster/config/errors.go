package config

import (
	"fmt"
	"strings"
)

// ValidationError is an error in a table, by itself or compared with the version
// before it.
type ValidationError struct {
	File    string // operator's file with the error; empty if none
	Line    int    // in File
	Key     string // in the rules block, such as tenant "north".reservation; empty for the block
	Message string // what is wrong and how to correct it
}

func (e ValidationError) Error() string {
	place := ""
	if e.File != "" {
		place = fmt.Sprintf("%s:%d: ", e.File, e.Line)
	}
	return fmt.Sprintf("%s%s: %s", place, strings.TrimSuffix("rules."+e.Key, "."), e.Message)
}

// ValidationErrors has all errors of a proposal. Its text has one per line.
type ValidationErrors []ValidationError

func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each of the errors.
func (e ValidationErrors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, err := range e {
		errs[i] = err
	}
	return errs
}

// abbreviate joins the first entries of a list and states how many others there are.
func abbreviate(list []string) string {
	const limit = 8
	if len(list) > limit {
		return fmt.Sprintf("%s and %d more", strings.Join(list[:limit], ", "), len(list)-limit)
	}
	return strings.Join(list, ", ")
}
