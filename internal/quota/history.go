package quota

import "time"

// Lending is a record of allowances that were lent, for a disk.
type Lending struct {
	Tenant     string
	Allowances int
	// Life is the life of the process that lent them, Uptime the time since it began: clocks
	// of machines jump.
	Life   string
	Uptime time.Duration
}

// History finds in the records of a disk what was lent lately. All that may have been lent
// within the span before the last record counts.
type History struct {
	span  time.Duration
	lives []life
}

// life is what one life of the process lent within the span before its last record.
type life struct {
	name     string
	lendings []Lending
}

// NewHistory returns a history for lenders under the policy.
func NewHistory(policy Policy) *History { return &History{span: policy.Window + aheadLife} }

// Add adds the next record of the disk.
func (h *History) Add(lending Lending) {
	if len(h.lives) == 0 || h.lives[len(h.lives)-1].name != lending.Life {
		h.lives = append(h.lives, life{name: lending.Life})
	}
	newest := &h.lives[len(h.lives)-1]
	newest.lendings = append(newest.lendings, lending)
	for lending.Uptime-newest.lendings[0].Uptime > h.span {
		newest.lendings = newest.lendings[1:]
	}
	if lending.Uptime > h.span { // nothing of earlier lives is that recent
		h.lives = h.lives[len(h.lives)-1:]
	}
}

// Recent returns what counts, by tenant.
func (h *History) Recent() map[string]int {
	recent := map[string]int{}
	for _, known := range h.lives {
		for _, lending := range known.lendings {
			recent[lending.Tenant] += lending.Allowances
		}
	}
	return recent
}
