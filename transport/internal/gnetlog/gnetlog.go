// Package gnetlog silences gnet's own log. gnet writes to standard output by default; the errors that
// matter reach this project through return values and OnClose.
package gnetlog

// Discard implements gnet's Logger.
type Discard struct{}

// Debugf discards the line.
func (Discard) Debugf(string, ...any) {}

// Infof discards the line.
func (Discard) Infof(string, ...any) {}

// Warnf discards the line.
func (Discard) Warnf(string, ...any) {}

// Errorf discards the line.
func (Discard) Errorf(string, ...any) {}

// Fatalf discards the line; the process goes on.
func (Discard) Fatalf(string, ...any) {}
