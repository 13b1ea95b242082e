// Package inspect examines valid routing configurations: Warnings finds settings that are allowed but probably
// mistaken, and Compare lists the differences between two versions.
//
// Results refer to settings by Place, which the platform translates to the names of its own form. They contain neither
// API keys nor digests of keys.
package inspect
