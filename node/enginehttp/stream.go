package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
)

// Start opens a session and returns its stream. A session with ResumeFrom continues after that token;
// Import and Export in the request transfer KV caches. The context bounds the whole stream. A 503 response
// is returned as a NotRun error with the engine's retry-after; its reason is overload, or draining if the
// engine reports that it is leaving.
func (c *Client) Start(ctx context.Context, req backendapi.SessionRequest) (*Stream, error) {
	hc := &httpcall.Call{Step: "engine_start", Peer: c.cfg.Peer}
	resp, err := c.send(ctx, hc, http.MethodPost, "/v1/sessions", req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, hc.StatusError(resp)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, min(4096, c.cfg.MaxLineBytes)), c.cfg.MaxLineBytes)
	hc.Step = "engine_stream"
	return &Stream{ctx: ctx, call: hc, body: resp.Body, lines: lines}, nil
}

// Export prefills a prompt and returns the handle of its exported KV cache.
func (c *Client) Export(ctx context.Context, req backendapi.SessionRequest) (handle string, err error) {
	req.Export = true
	s, err := c.Start(ctx, req)
	if err != nil {
		return "", err
	}
	defer s.Close()
	for {
		line, err := s.Next()
		if err != nil {
			return "", err
		}
		if line.End && line.KV != "" {
			return line.KV, nil
		}
		if line.End {
			return "", outcome.Fail("engine_export", c.cfg.Peer, outcome.BackendFailed, errors.New("end line without a KV handle"))
		}
	}
}

// Stream is the response stream of a session.
type Stream struct {
	ctx   context.Context
	call  *httpcall.Call
	body  io.ReadCloser
	lines *bufio.Scanner
	ended bool
}

// Next returns the next line, and io.EOF after the line with End. A stream that ends before that line or
// contains an error line fails with a MayHaveRun error.
func (s *Stream) Next() (backendapi.StreamLine, error) {
	var line backendapi.StreamLine
	if s.ended {
		return line, io.EOF
	}
	if !s.lines.Scan() {
		err := s.lines.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return line, s.call.TransportError(s.ctx, err)
	}
	if err := json.Unmarshal(s.lines.Bytes(), &line); err != nil {
		return line, outcome.Fail(s.call.Step, s.call.Peer, outcome.BackendFailed, err)
	}
	if line.Error != "" {
		return line, outcome.Fail(s.call.Step, s.call.Peer, outcome.BackendFailed, errors.New(line.Error))
	}
	s.ended = line.End
	return line, nil
}

// Close closes the stream's connection. It doesn't cancel the session at the engine.
func (s *Stream) Close() error { return s.body.Close() }
