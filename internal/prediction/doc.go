// Package prediction learns from tasks that have ended how long others will run.
//
// Clients give a rough estimate of each task's run, and it can be wrong by a factor of ten.
// [Durations] compares, queue by queue, two predictors in the logarithm of the run: the
// estimate times the queue's usual error, and the queue's usual run whatever the estimate.
// It weighs them by how far off each has been lately, as Bayes' rule does for a normal prior
// (the queue's runs) and a measurement with a normal error (the estimate). Where estimates are
// good it follows them, where they are not it follows the queue.
//
// [Rate] does the same for how fast a runner works: few runs say little, so that their mean is
// shrunk towards the nominal rate.
//
// Nothing here is replicated: it is a leader's evidence, gathered anew by the next one. All
// of it is a function of its inputs in their order.
package prediction
