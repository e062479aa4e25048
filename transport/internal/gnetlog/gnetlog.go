// Package gnetlog discards gnet's log output, which goes to standard output by default. Relevant errors are
// reported through return values and OnClose.
package gnetlog

// Discard implements gnet's Logger and discards all output.
type Discard struct{}

// Debugf discards the line.
func (Discard) Debugf(string, ...any) {}

// Infof discards the line.
func (Discard) Infof(string, ...any) {}

// Warnf discards the line.
func (Discard) Warnf(string, ...any) {}

// Errorf discards the line.
func (Discard) Errorf(string, ...any) {}

// Fatalf discards the line; it does not exit the process.
func (Discard) Fatalf(string, ...any) {}
