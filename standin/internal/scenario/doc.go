// Package scenario holds scripted scenarios of operators' work against a whole cell, in testdata.
package scenario
