// Package schedule places model requests with the work of all entry nodes in view.
//
// One core node's Scheduler holds the Placer that all entry nodes ask; it knows what each engine has to read and which
// prompt parts it holds. Its state is not durable: an entry node that gets no answer in time places the request by what it
// knows itself, and goes on to the next core node when that repeats.
package schedule
