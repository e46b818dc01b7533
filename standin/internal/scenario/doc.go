// Package scenario runs the scripts in testdata, which use a cell with flamingoctl as operators do.
package scenario
