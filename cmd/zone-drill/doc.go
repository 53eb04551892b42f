// Command zone-drill puts a running cluster under load, takes a failure domain out of
// service, restores it, and checks the responses to clients and the events of runners
// against the promises of docs/promises.md. It exits with 0 if all promises were kept on
// sufficient evidence, 1 on a violation or insufficient evidence, 2 on bad usage, and 3 if
// no gateway responded.
//
// The state of a drill is a [drill], owned by the one goroutine that runs it. Other
// goroutines send the requests, poll the readiness of gateways and read the event logs of
// the stand-in runners; they pass their results to the drill through a queue. Events are
// sorted by time before package invariants sees them, because the logs are read one after
// another.
//
// Begin with drill.go. Times are in milliseconds of the drill's monotonic clock.
package main
