// Package eventloop runs a state machine as a daemon. Only one goroutine accesses the machine,
// so it needs no locks.
//
// The goroutine processes one input after another: messages from other processes, calls from
// other goroutines, ticks, and completions of operations elsewhere, such as disk writes. After
// each input it processes the machine's output. All queues are bounded; an input that finds
// its queue full is rejected immediately.
package eventloop
