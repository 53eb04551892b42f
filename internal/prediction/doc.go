// Package prediction predicts the run time of tasks from that of completed tasks.
//
// Clients give a rough estimate of each task's run time, which can be wrong by a factor of
// ten. For each queue, [Durations] combines two predictors of the logarithm of the run time:
// the estimate corrected by the queue's mean error, and the queue's mean regardless of the
// estimate. It weights them by their recent errors, as Bayes' rule does for a normal prior
// (the queue's runs) and a measurement with a normal error (the estimate). Good estimates
// thus dominate the prediction, and poor ones give way to the queue's mean.
//
// [Evidence] does the same for the work rate of a runner: a few runs are weak evidence, so
// their mean is shrunk towards the nominal rate.
//
// Nothing here is replicated: each leader collects its own evidence from scratch. All
// results are deterministic functions of the inputs and their order.
package prediction
