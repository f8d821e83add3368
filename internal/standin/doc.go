// Package standin holds small stand-ins for the systems outside the product:
// model engines, applications, tools, and the platform's object API and machine
// list. They speak the same protocols, and count what they ran, so that a test
// or the demo can check from outside that nothing was lost or doubled.
package standin
