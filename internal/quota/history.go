package quota

import "time"

// Lending is a log record of allowances that were lent.
type Lending struct {
	Tenant     string
	Allowances int
	// Life identifies the process that lent them, Uptime is the time since that process started.
	// Wall clock times are not used because clocks can jump.
	Life   string
	Uptime time.Duration
}

// History reconstructs from log records what was lent recently. Everything that may have been lent
// within the retention before the last record counts.
type History struct {
	retention time.Duration
	runs      []processRun
}

// processRun holds what one process lent within the retention before its last record.
type processRun struct {
	name     string
	lendings []Lending
}

// NewHistory returns a history for lenders with the given policy.
func NewHistory(policy Policy) *History { return &History{retention: policy.Window + aheadLife} }

// Add adds the next log record.
func (h *History) Add(lending Lending) {
	if len(h.runs) == 0 || h.runs[len(h.runs)-1].name != lending.Life {
		h.runs = append(h.runs, processRun{name: lending.Life})
	}
	current := &h.runs[len(h.runs)-1]
	current.lendings = append(current.lendings, lending)
	for lending.Uptime-current.lendings[0].Uptime > h.retention {
		current.lendings = current.lendings[1:]
	}
	if lending.Uptime > h.retention { // earlier processes lent nothing that recently
		h.runs = h.runs[len(h.runs)-1:]
	}
}

// Recent returns the allowances that count, by tenant.
func (h *History) Recent() map[string]int {
	totals := map[string]int{}
	for _, run := range h.runs {
		for _, record := range run.lendings {
			totals[record.Tenant] += record.Allowances
		}
	}
	return totals
}
