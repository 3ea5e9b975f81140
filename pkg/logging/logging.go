// Package logging sets up structured logs with a fixed prefix for each component of the
// system.
package logging

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// componentField is the log field with the name of the component.
const componentField = "part"

// Config holds the settings of the logs.
type Config struct {
	// Format is "text" or "json".
	Format string
	// Level is the name of a logrus level.
	Level string
}

// Setup configures the standard logger to write to w.
func Setup(w io.Writer, cfg Config) error {
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		return errors.Errorf("log level %q is unknown; use one of debug, info, warning, error", cfg.Level)
	}
	logrus.SetLevel(level)
	logrus.SetOutput(w)
	if cfg.Format == "json" {
		logrus.SetFormatter(&logrus.JSONFormatter{})
		return nil
	}
	logrus.SetFormatter(&prefixFormatter{inner: &logrus.TextFormatter{FullTimestamp: true, DisableColors: true}})
	return nil
}

// For returns the logger of a component.
func For(component string) *logrus.Entry {
	return logrus.WithField(componentField, component)
}

// prefixFormatter writes the component as a prefix of the message.
type prefixFormatter struct {
	inner logrus.Formatter
}

// Format implements logrus.Formatter.
func (f *prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	component, ok := e.Data[componentField].(string)
	if !ok {
		return f.inner.Format(e)
	}
	c := *e
	c.Data = make(logrus.Fields, len(e.Data))
	for k, v := range e.Data {
		if k != componentField {
			c.Data[k] = v
		}
	}
	c.Message = component + ": " + e.Message
	return f.inner.Format(&c)
}

var _ logrus.Formatter = (*prefixFormatter)(nil)
