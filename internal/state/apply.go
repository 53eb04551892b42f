package state

// Apply executes one command. The commands of the log must be passed in log order. A
// rejected command is not an error: its result has a status of 400 or more, and it
// changes only state that is due at its time, such as delayed starts and expired records.
// Cluster time never goes back, whatever command.At says.
func (s *Store) Apply(command *Command) Result {
	s.Now = max(s.Now, command.At)
	s.startDelayedJobs()
	result := s.dispatch(command)
	s.foldChecksum(
		uint64(s.Now),
		uint64(s.NextLease),
		uint64(s.NextJobSeq),
		uint64(s.Limits.Epoch),
		uint64(result.Status),
	)
	s.expireRecords()
	return result
}

// dispatch executes the command itself. VerifyChecksum is a no-op here: the server
// compares the checksums.
func (s *Store) dispatch(command *Command) Result {
	switch {
	case command.SubmitJob != nil:
		return s.submitJob(command.SubmitJob)
	case command.CancelJob != nil:
		return s.cancelJob(command.CancelJob)
	case command.ChangeLimits != nil:
		return s.changeLimits(command.ChangeLimits)
	case command.ChangeCatalog != nil:
		return s.changeCatalog(command.ChangeCatalog)
	case command.StartDrain != nil:
		return s.startDrain(command.StartDrain)
	case command.EndDrain != nil:
		return s.endDrain(command.EndDrain)
	case command.ReportRunner != nil:
		return s.reportRunner(command.ReportRunner)
	}
	s.dispatchInternal(command)
	return Result{}
}

// dispatchInternal executes the commands that have no result.
func (s *Store) dispatchInternal(command *Command) {
	switch {
	case command.ReportEnds != nil:
		s.reportEnds(command.ReportEnds)
	case command.PlaceTasks != nil:
		s.placeTasks(command.PlaceTasks)
	case command.RevokeLeases != nil:
		s.revokeLeases(command.RevokeLeases)
	case command.LoseRunner != nil:
		s.loseRunner(command.LoseRunner)
	case command.AdvanceDrain != nil:
		s.advanceDrain(command.AdvanceDrain)
	case command.RaiseLevel != nil:
		s.raiseLevel(command.RaiseLevel)
	}
}

// raiseLevel raises the level and migrates the state to the form used at that level.
func (s *Store) raiseLevel(command *RaiseLevel) {
	s.Level = max(s.Level, command.Level)
	if s.Level >= ResendLevel && s.Catalog != nil {
		s.Catalog = s.Catalog.Deduplicated()
	}
	if s.Level >= RackScopeLevel {
		s.updateRackDrains()
	}
	if s.Level >= LateGangSuccessLevel {
		s.completeHalfEndedGangs()
	}
	if s.Level >= LateGangDefectLevel {
		s.convertDefectiveAttempts()
	}
}

// startDelayedJobs makes jobs pending once their start time is reached.
func (s *Store) startDelayedJobs() {
	s.startDueOccurrences()
	for {
		j := s.jobIndex.nextDelayed()
		if j == nil || j.StartAt > s.Now {
			return
		}
		s.jobIndex.update(j, s.Now)
	}
}
