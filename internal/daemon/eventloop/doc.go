// Package eventloop runs a state machine as a daemon: one goroutine alone touches the
// machine, so that it needs no locks.
//
// The goroutine takes one input after another: messages of other processes, calls from
// other goroutines, ticks, and completions of work elsewhere, such as on a disk. After
// each it hands on what the machine has to send. All queues are bounded; what comes when
// one is full is refused at once.
package eventloop
