// Package role decides when an engine of a service changes its role, as the mix of prompt and output tokens shifts.
//
// All functions are pure: the history, the state of the fleet and the time are arguments. Decide is the policy; it
// compares what low-cost measures reach with what one role change would gain over a short forecast. Threshold, Hold and
// Choose with the true future are the baselines it is compared with in package trial.
package role
