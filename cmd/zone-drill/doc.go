// Command zone-drill puts a running cluster under load, takes a failure domain out,
// brings it back, and checks what clients were answered and what runners did against
// the promises of docs/promises.md. It exits 0 when all were kept on enough evidence,
// 1 on a violation or too little evidence, 2 on bad usage, 3 when no gateway answered.
//
// The state of a drill is a [drill], owned by the one goroutine that runs it. Other
// goroutines make the requests, follow the readiness of gateways and read the event
// logs of the stand-in runners; what they find comes to the drill by a queue. Events
// are put in order of time before package invariants sees them, since the logs are
// read one after another.
//
// Begin with drill.go. Times are in milliseconds of the drill's monotonic clock.
package main
