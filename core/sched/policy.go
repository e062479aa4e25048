package sched

// SetPolicy puts the policy of a new configuration in force; zero values take the defaults. Attempts
// that wait keep their order. EnginesChanged must follow, because it divides the engines anew.
func (s *Scheduler) SetPolicy(p Policy, batchMemoryShare, batchEngineShare float64) {
	s.cfg.Policy = p
	s.cfg.BatchMemoryShare = batchMemoryShare
	s.cfg.BatchEngineShare = batchEngineShare
	s.cfg = s.cfg.withDefaults()
}
