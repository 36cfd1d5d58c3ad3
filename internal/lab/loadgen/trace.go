package loadgen

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Defaults of the fields that a recorded job does not set.
const (
	defaultTraceSlots                = 1
	defaultTraceClientTimeoutSeconds = 3
)

// ReadTrace reads recorded jobs, one JSON object per line, in order of time. An error
// names the file and the line.
func ReadTrace(name string, r io.Reader) (jobs []Job, err error) {
	lines := bufio.NewScanner(r)
	earliest := 0.0
	for number := 1; lines.Scan(); number++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		job, err := parseJob(lines.Bytes(), earliest)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, number, err)
		}
		earliest = job.At
		jobs = append(jobs, job)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return jobs, nil
}

// parseJob parses one line of a trace. The job's time must not be before earliest.
func parseJob(line []byte, earliest float64) (Job, error) {
	job := Job{Slots: defaultTraceSlots, ClientTimeout: defaultTraceClientTimeoutSeconds}
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&job); err != nil {
		return Job{}, err
	}
	switch {
	case !(job.At >= earliest && job.At < maxSpanSeconds):
		return Job{}, fmt.Errorf("at: %v is before the previous job or not from 0 to below a day", job.At)
	case job.Class == "":
		return Job{}, errors.New("class: missing")
	case !validClientTimeout(job.ClientTimeout):
		return Job{}, fmt.Errorf("timeout: %v s is not above 0 and up to 600", job.ClientTimeout)
	}
	return job, nil
}
