// Package trial compares role policies on a small fluid model of a service, over traces of a shifting token mix.
package trial
