// Package scenarios contains the scripted failure scenarios, testdata/*.txtar. A script starts
// the processes of a site, injects faults and checks the outcome by the commands that README.md
// lists.
//
// The checks use the records of the stand-ins and what callers received, never the logs of the
// system under test.
package scenarios
