// Package role decides when an engine of a service changes its role, as the ratio of prompt to output tokens shifts.
//
// All functions are pure: the history, the state of the fleet and the time are arguments. Decide is the policy; it
// compares the effect of low-cost measures with the gain of one role change over a short forecast. Package trial
// compares it with the baselines NoChange, Threshold and DecideFor with the true future demand.
package role
