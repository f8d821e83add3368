package backend

import "time"

// slowdown is how the time of a service's requests grows with the requests at their instance,
// learned from those that ended. It is a pure value.
//
// The mean time at each share of the slots is kept by itself: single requests differ by more
// than ten times, and the mean over many does not need to know why.
type slowdown struct {
	// took is the mean time in milliseconds by the requests that were at the instance, as
	// eighths of its slots; the last one is of all that were full.
	took [slowdownSteps + 1]mean
}

const (
	// slowdownSteps is into how many parts the slots of an instance are divided.
	slowdownSteps = 8
	// slowdownLeast is how many requests tell a mean.
	slowdownLeast = 20
)

// step returns the part of the slots that a load is in.
func slowdownStep(load, slots int) int {
	return min(slowdownSteps, load*slowdownSteps/max(1, slots))
}

// observe adds a request's time and the others that were at its instance.
func (s *slowdown) observe(took time.Duration, load, slots int) {
	s.took[slowdownStep(load, slots)].add(milliseconds(took), paceGain)
}

// calm returns the mean time on an instance with nearly no other requests, in milliseconds; ok
// is false before that is known.
func (s *slowdown) calm() (took float64, ok bool) {
	for _, known := range s.took[:slowdownSteps/2] {
		if known.count >= slowdownLeast {
			return known.value, true
		}
	}
	return 0, false
}

// at returns by how much longer than on a calm instance a request takes at the given share of
// the slots in use; 1 before that is known. It never falls as the share rises.
func (s *slowdown) at(share float64) float64 {
	calm, ok := s.calm()
	if !ok {
		return 1
	}
	step := min(slowdownSteps, max(0, int(share*slowdownSteps)))
	slowest := calm
	for _, known := range s.took[:step+1] {
		if known.count >= slowdownLeast {
			slowest = max(slowest, known.value)
		}
	}
	return slowest / calm
}

// bearable returns the share of the slots up to which requests take at most so many times
// as long as on a calm instance; 1 where that was never exceeded.
func (s *slowdown) bearable(most float64) float64 {
	for step := range slowdownSteps + 1 {
		if s.at(float64(step)/slowdownSteps) > most {
			return float64(step) / slowdownSteps
		}
	}
	return 1
}

// BearableShare returns the share of a service's slots in use up to which its requests take at most so many times as long as on calm instances.
func (d *Directory) BearableShare(service string, most float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paceOf(service).slowdown.bearable(most)
}

// SlowdownAt returns how many times as long as on calm instances a service's requests take
// while that share of its slots is in use.
func (d *Directory) SlowdownAt(service string, share float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paceOf(service).slowdown.at(share)
}
