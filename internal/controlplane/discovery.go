package controlplane

import (
	"cmp"
	"encoding/json"
	"slices"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

const (
	// discoveryInterval is how often a server without a group queries its seeds.
	discoveryInterval clock.Millis = 300
	// announcementTTL is how long a seed's announcement remains valid.
	announcementTTL clock.Millis = 1500
	// foundingQuietPeriod is how long a server must have heard of no group before it
	// founds one if some of the seeds have no disk.
	foundingQuietPeriod clock.Millis = 5000
	// joinTimeout is how long the sender of a join request waits for the response.
	joinTimeout clock.Millis = 1500
	// searchInterval is how often a member without a leader searches for the group.
	searchInterval = 4 * discoveryInterval
	// rejoinAfter is how long a member has no leader before it searches for its group:
	// longer than most elections take. A server that was removed from the group while it
	// was stopped also waits this long after its start.
	rejoinAfter clock.Millis = 2500
)

// discovery is how a server with an empty disk searches for its group. It queries its
// seeds until it learns of a group that lists it as a founder or that it may join as a
// learner, or until all seeds turn out to be empty and it founds a group with them.
type discovery struct {
	nextAttempt clock.Monotonic
	// lastSeen is when each seed last answered.
	lastSeen map[string]clock.Monotonic
	// emptySeeds are the seeds that announced an empty disk, as members of a group to
	// found; diskless are the seeds that announced that they have no disk.
	emptySeeds map[string]raft.Member
	diskless   map[string]bool
	// creating means that the log of a group is being created.
	creating bool
	// since is when this search began, and groupHeardAt when a consensus message of a
	// group was last received.
	since        clock.Monotonic
	groupHeardAt clock.Monotonic
}

func newDiscovery(now clock.Monotonic) *discovery {
	return &discovery{
		since:      now,
		emptySeeds: map[string]raft.Member{},
		lastSeen:   map[string]clock.Monotonic{},
		diskless:   map[string]bool{},
	}
}

// quietPeriodOver reports whether no group has been heard of for so long that a leader
// would have announced itself. Seeds without a disk lose what they know of the group on a
// restart, so their answers alone do not prove that there is none.
func (d *discovery) quietPeriodOver(now clock.Monotonic) bool {
	if now.Since(d.since) < foundingQuietPeriod {
		return false
	}
	return d.groupHeardAt == 0 || now.Since(d.groupHeardAt) >= foundingQuietPeriod
}

// discover periodically queries the seeds.
func (s *Server) discover() {
	d := s.discovery
	if s.now < d.nextAttempt || d.creating {
		return
	}
	d.nextAttempt = s.now.Add(discoveryInterval)
	for _, seed := range s.config.Seeds {
		s.send(wire.Peer(seed), wire.Message{Announcement: s.announcement(true)})
	}
	s.maybeFoundGroup()
}

// discoverGroup handles an announcement while this server is looking for its group.
func (s *Server) discoverGroup(from wire.Peer, announcement *wire.Announcement) {
	if announcement.Founded {
		for _, founder := range announcement.Founders {
			if founder.ID == s.config.ID {
				s.createInitialLog(announcement.Founders, 1)
				return
			}
		}
		s.requestJoin(from, announcement)
		return
	}
	seed := string(from)
	switch announcement.Role {
	case wire.RoleForwarder:
		s.discovery.lastSeen[seed] = s.now
		s.discovery.diskless[seed] = true
	case wire.RoleServer:
		s.discovery.lastSeen[seed] = s.now
		s.discovery.diskless[seed] = false
		s.discovery.emptySeeds[seed] = raft.Member{ID: announcement.Node, Addr: announcement.Addr, Domain: announcement.Domain, Voter: true}
	}
}

// maybeFoundGroup founds a group if every seed has recently announced that it is an empty
// server, this one included, or that it has no disk. The set of diskless seeds is fixed,
// and all servers have the same seeds at their first start, so all of them found the same
// group.
func (s *Server) maybeFoundGroup() {
	if !s.config.MayFound {
		return
	}
	founders, ok := s.foundersAmongSeeds()
	if !ok {
		return
	}
	everySeed := len(founders) == len(s.config.Seeds)
	if !everySeed && !s.discovery.quietPeriodOver(s.now) {
		return
	}
	slices.SortFunc(founders, func(a, b raft.Member) int { return cmp.Compare(a.ID, b.ID) })
	s.createInitialLog(founders, 1)
}

// foundersAmongSeeds lists the seeds that can found a group. ok is false if some seed is
// silent, if this server is not among them, or if two seeds are the same server.
func (s *Server) foundersAmongSeeds() (founders []raft.Member, ok bool) {
	ids := map[identifier.Node]bool{}
	for _, seed := range s.config.Seeds {
		seenAt, seen := s.discovery.lastSeen[seed]
		if !seen || s.now.Since(seenAt) > announcementTTL {
			return nil, false
		}
		if s.discovery.diskless[seed] {
			continue
		}
		member := s.discovery.emptySeeds[seed]
		ids[member.ID] = true
		founders = append(founders, member)
	}
	return founders, ids[s.config.ID] && len(ids) == len(founders)
}

// createInitialLog requests a log that begins with this member list. A founder starts at
// index 1; a server that joins starts at 0 and receives a snapshot.
func (s *Server) createInitialLog(members []raft.Member, index identifier.Index) {
	s.discovery.creating = true
	s.output.CreateLog = &raft.Snapshot{
		Index:   index,
		Term:    identifier.Term(index),
		Members: members,
		Data:    s.initialState().Encode(),
	}
	s.logEvent("log-created", "founder", index == 1, "members", members)
}

// initialState returns the state that a group starts with.
func (s *Server) initialState() *state.Store {
	initial := state.New()
	for name, text := range s.config.InitialLimits {
		initial.Limits.Rows[limits.SiteRow][name] = text
	}
	return initial
}

// LogCreated reports that the log requested by Output.CreateLog is on disk.
func (s *Server) LogCreated(snapshot *raft.Snapshot, now clock.Monotonic, wall clock.WallTime) {
	s.advanceClocks(now, wall)
	if err := s.Resume(raft.HardState{}, snapshot, nil); err != nil {
		s.halt(err.Error())
	}
}

// joinRequest is the body of a request to join a group.
type joinRequest struct {
	ID     string            `json:"id"`
	Addr   string            `json:"addr"`
	Domain identifier.Domain `json:"domain"`
	Level  uint16            `json:"level,omitempty"`
}

// requestJoin asks to be added as a learner. The request goes to the sender of the
// announcement if that is a server with a disk, and otherwise to the announced members.
func (s *Server) requestJoin(from wire.Peer, announcement *wire.Announcement) {
	for _, member := range announcement.Members {
		if member.ID == s.config.ID && member.Addr == s.config.Addr {
			if s.raft == nil {
				s.createInitialLog(announcement.Members, 0)
			}
			return
		}
	}
	body, err := json.Marshal(joinRequest{s.config.ID.String(), s.config.Addr, s.config.Domain, s.config.Level})
	if err != nil {
		panic("controlplane: encode a join request: " + err.Error())
	}
	to := []wire.Peer{from}
	if announcement.Role != wire.RoleServer {
		to = nil
		for _, member := range announcement.Members {
			to = append(to, wire.Peer(member.Addr))
		}
	}
	for _, peer := range to {
		s.send(peer, wire.Message{Request: &wire.Request{
			ID:     s.nextRequestID(),
			Method: endpoint.MethodJoin,
			Path:   "/",
			Body:   body,
			Budget: joinTimeout,
		}})
	}
}

// requestRejoin asks to be added again when this server has had no leader for rejoinAfter
// and hears of a group that has removed it or knows it by an earlier address.
func (s *Server) requestRejoin(from wire.Peer, announcement *wire.Announcement) {
	if s.raft == nil || s.now.Since(s.leaderlessSince) <= rejoinAfter {
		return
	}
	if announcement.Founded && announcement.LeaderID != 0 && announcement.Node != s.config.ID {
		s.requestJoin(from, announcement)
	}
}

// searchForGroup periodically queries the seeds and members while there is no leader.
func (s *Server) searchForGroup() {
	// Ticks arrive every TickInterval, so one of them falls into the beginning of each
	// searchInterval.
	due := clock.Millis(s.now)%searchInterval < TickInterval
	if s.now.Since(s.leaderlessSince) < rejoinAfter || !due {
		return
	}
	for _, seed := range s.config.Seeds {
		s.send(wire.Peer(seed), wire.Message{Announcement: s.announcement(true)})
	}
	for _, member := range s.raft.Members() {
		if member.ID != s.config.ID {
			s.send(wire.Peer(member.Addr), wire.Message{Announcement: s.announcement(true)})
		}
	}
}
