// Package standin provides stand-ins for external systems: model engines,
// applications, tools, and the platform's object API and machine list. They speak
// the same protocols and count the requests they ran, so that tests and the demo
// can verify that no request was lost or duplicated.
package standin
