package main

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/standin/engine"
)

func standinEngine() *command {
	var cfg engine.Config
	var listen string
	return &command{
		name:    "engine",
		summary: "Model engine with continuous batching, limited memory and delayed reports",
		examples: `  rosectl standin engine --listen 127.0.0.1:7201 --id e1 --model m --memory_tokens 400000
  curl -d '{"hang_after":5,"lose_cancels":true}' http://127.0.0.1:7201/faults`,
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&listen, "l", "listen", "address to listen at, host:port")
			engineFlags(sc, &cfg)
		},
		run: func(ctx context.Context, out io.Writer) error {
			e := engine.New(cfg)
			defer e.Close()
			return serve(ctx, "engine", listen, e, out)
		},
	}
}

func engineFlags(sc *flaggy.Subcommand, cfg *engine.Config) {
	sc.String(&cfg.ID, "", "id", "backend server id")
	sc.String(&cfg.Model, "", "model", "model that is loaded at startup")
	sc.String(&cfg.Version, "", "model_version", "version of that model")
	sc.String(&cfg.Role, "", "role", "role at startup")
	sc.Int(&cfg.MemoryTokens, "", "memory_tokens", "memory for sessions and exported KV caches; 0 means 400000")
	sc.Float64(&cfg.PrefillTokensPerS, "", "prefill_tokens_per_s", "prefill rate over all sessions; 0 means 200000")
	sc.Float64(&cfg.DecodeTokensPerS, "", "decode_tokens_per_s", "decode rate of each session; 0 means 100")
	sc.Int(&cfg.ChunkTokens, "", "chunk_tokens", "prefill tokens in one step; 0 means 2048")
	sc.Int(&cfg.MaxBatch, "", "max_batch", "sessions that run at once; 0 means 64")
	sc.Int(&cfg.CacheTokens, "", "cache_tokens", "memory of the prefix cache; 0 means 65536")
	sc.Int(&cfg.PrefixTokens, "", "prefix_tokens", "tokens that one prefix key covers; 0 means 1024")
	sc.Duration(&cfg.CacheEventLag, "", "cache_event_lag", "delay until a cache event is visible")
	sc.Float64(&cfg.CacheEventLoss, "", "cache_event_loss", "share of cache events that are lost")
	sc.Duration(&cfg.ReportLag, "", "report_lag", "maximum age of a report")
	sc.Bool(&cfg.IgnoresFences, "", "ignores_fences", "accept orders with an outdated fence")
	sc.Bool(&cfg.ReleaseOnGone, "", "release_on_gone", "release a session when its client disconnects")
	sc.String(&cfg.WeightsURL, "", "weights", "URL of the weight store that is read for load orders")
	sc.UInt64(&cfg.Seed, "", "seed", "seed for the random loss of cache events")
}
