// Package pace orders what a daemon sends over the link of its VM, so that small frames do not wait behind large ones.
package pace
