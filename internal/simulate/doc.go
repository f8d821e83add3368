// Package simulate runs whole deployments on a virtual clock: the same decision
// packages as the live node, with modelled engines, applications, network, object
// API, machine list and callers, and faults drawn from a seed. One seed gives one
// run, event for event.
//
// A checker watches from outside: it knows what callers sent and were told, and
// what back ends ran, and never looks at what the nodes believe.
package simulate
