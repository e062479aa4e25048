package sched

// SetPolicy applies the policy of a new configuration; zero values take the defaults. Queued attempts
// keep their order. EnginesChanged must follow, because it selects the batch engines again.
func (s *Scheduler) SetPolicy(p Policy, batchMemoryShare, batchEngineShare float64) {
	s.cfg.Policy = p
	s.cfg.BatchMemoryShare = batchMemoryShare
	s.cfg.BatchEngineShare = batchEngineShare
	s.cfg = s.cfg.withDefaults()
}
