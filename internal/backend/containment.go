package backend

// containmentCost is the expected harm, in milliseconds, if an instance ends under one of the requests that
// run there: all others lose about the duration of a request.
//
// A request with ends behind it goes where few others run. All requests avoid the instances where such
// requests run, so that one of them does not make others suspect.
func (d *Directory) containmentCost(candidate *member, load float64, demand Demand) float64 {
	lost := d.serviceSpeedOf(demand.Service).durationMS()
	return lost * (float64(demand.EndsBehind)*load + float64(candidate.suspects))
}
