// Package scenarios holds the scripted failure scenarios: testdata/*.txtar, run
// over separate processes by the commands that README.md lists. Verdicts come
// from the stand-ins' own records, never from the system's logs.
package scenarios
