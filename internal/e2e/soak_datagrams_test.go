package e2e

import (
	"flag"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/faultproxy"
)

// This file loses, delays, reorders and duplicates the datagrams between the gateways of the soak.

// soakDatagrams adds datagramFaults to the faults of seeds that are in no list.
var soakDatagrams = flag.Bool("soak.datagrams", false, "also lose, delay and reorder datagrams between gateways")

// datagramSeeds also inject datagramFaults.
var datagramSeeds = []uint64{68}

// datagramFaults are used with datagramSeeds and with soakDatagrams.
var datagramFaults = []fault{
	{"datagrams to a gateway", func(s *soak) (string, func(), bool) { return s.degradeDatagrams(pick(s, s.gateways)) }},
	{"datagrams to all gateways lost", (*soak).loseDatagrams},
}

// hasDatagramFaults reports whether the soak plays datagramFaults.
func hasDatagramFaults(seed uint64) bool {
	return *soakDatagrams || slices.Contains(datagramSeeds, seed)
}

// degradeDatagrams sets a condition on what the other gateways send to a gateway.
func (s *soak) degradeDatagrams(m *member) (string, func(), bool) {
	target := m.name + "'s datagrams"
	if !s.isFree(target) {
		return "", nil, false
	}
	condition := pick(s, []faultproxy.DatagramCondition{
		faultproxy.Lost, {Loss: 0.5}, {Delay: 300 * time.Millisecond}, {Jitter: time.Second, Duplicates: 0.5}, {Loss: 0.3, Delay: 100 * time.Millisecond, Jitter: 500 * time.Millisecond},
	})
	m.datagrams.Set(condition)
	s.note("%s: %+v", target, condition)
	return target, func() { m.datagrams.Set(faultproxy.DatagramCondition{}) }, true
}

// loseDatagrams loses all datagrams between gateways.
func (s *soak) loseDatagrams() (string, func(), bool) {
	for _, m := range s.gateways {
		if !s.isFree(m.name + "'s datagrams") {
			return "", nil, false
		}
	}
	for _, m := range s.gateways {
		s.busyTargets[m.name+"'s datagrams"] = true
	}
	s.setDatagrams(s.gateways, faultproxy.Lost)
	return "all datagrams", func() {
		s.setDatagrams(s.gateways, faultproxy.DatagramCondition{})
		for _, m := range s.gateways {
			delete(s.busyTargets, m.name+"'s datagrams")
		}
	}, true
}
