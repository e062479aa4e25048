package logline

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

const whole = `  1.25 collector-7 time="2026-01-02T03:04:05.678Z" level=warning msg="server excluded" error="Get \"http://a/b?time=x\": EOF" host=edge-1 server=i-1 team=` + "\n"

// Guards against escapes that end a value early, against a collector's words that are taken for pairs and against an
// empty last value.
func TestParse(t *testing.T) {
	c := qt.New(t)
	l, err := Parse([]byte("sometime=1 time=1.5 stream=\"out " + strings.TrimSpace(whole)))
	c.Assert(err, qt.IsNil)
	c.Assert(l.Time.UnixMilli(), qt.Equals, int64(1767323045678))
	c.Assert(l, qt.DeepEquals, Line{
		Time: l.Time, Level: "warning", Message: "server excluded", Host: "edge-1",
		Fields: []Field{{"error", `Get "http://a/b?time=x": EOF`}, {"server", "i-1"}, {"team", ""}},
	})
}

// Guards against values that the project's formatter writes and this package reads differently.
func TestParseFormatted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value, message := rapid.String().Draw(t, "value"), rapid.StringN(1, -1, -1).Draw(t, "message")
		log := logrus.New()
		var out bytes.Buffer
		log.SetOutput(&out)
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
		log.WithFields(logrus.Fields{"a": value, "z": 1}).Info(message)
		l, err := Parse(bytes.TrimSuffix(out.Bytes(), []byte("\n")))
		if err != nil || l.Message != message || l.Get("a") != value || l.Get("z") != "1" {
			t.Fatalf("%q, %q: got %+v, %v", value, message, l, err)
		}
	})
}

// Guards against a broken line, a line that is too long or cut-off gzip data that ends the reading of the rest or goes
// unreported.
func TestReadDamaged(t *testing.T) {
	c := qt.New(t)
	broken := `time="2026-01-02T03:04:05Z" msg="cut` + "\n"
	text := whole + "\n" + broken + "panic: x\n" + strings.Repeat("x", 2*maxLine) + "\n" + whole + strings.TrimSpace(whole)
	var numbers []int
	each := func(n int, l Line) error {
		numbers = append(numbers, n)
		c.Assert(l.Fields[2], qt.Equals, Field{"team", ""}) // the last one, without the line break
		return nil
	}
	s, err := Read(strings.NewReader(text), each)
	c.Assert(err, qt.IsNil)
	c.Assert(numbers, qt.DeepEquals, []int{1, 6, 7})
	c.Assert(s.Lines, qt.Equals, 3)
	c.Assert(s.Broken, qt.Equals, 3)
	c.Assert(s.FirstAt, qt.Equals, 3)
	c.Assert(s.FirstBroken, qt.ErrorMatches, ".*quoted value of msg is cut off.*")
	c.Assert(s.Damaged, qt.IsNil)

	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	z.Write([]byte(text))
	c.Assert(z.Close(), qt.IsNil)
	numbers = nil
	_, err = Read(bytes.NewReader(packed.Bytes()), each)
	c.Assert(err, qt.IsNil)
	c.Assert(numbers, qt.DeepEquals, []int{1, 6, 7})
	s, err = Read(bytes.NewReader(packed.Bytes()[:packed.Len()-9]), each)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Damaged, qt.ErrorMatches, ".*unexpected EOF")
}
