// Package storehistory recognises that the platform's store has come back from a copy.
//
// A store that is restored from a copy has lost its latest changes, and gives their revisions
// out again. It states the number of its history, the era, in each answer; it rises by one
// at each restore. Revisions can only be compared within one era.
//
// The package does no I/O and reads no clock: callers pass answers and the time.
package storehistory
