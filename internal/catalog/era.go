package catalog

import "go.uber.org/zap"

// This file handles a store that comes back from a copy some seconds old. What it had
// acknowledged since the copy was made is gone, its offsets are given out again, and its
// era rises. Until a host has read the whole state of the new era it keeps what it knows;
// afterwards the position of that state replaces the former one.

// observeEra logs that a state of a topic that is being applied is the first of a later
// era than the topic's former one; f.mu is held.
func (f *Follower) observeEra(topic string, former, next Position, source string) {
	if former.Era != 0 && next.Era > former.Era {
		f.Log.Warn("store came back from a copy; its whole state replaces the former one", zap.String("Topic", topic), zap.Int64("Era", int64(next.Era)),
			zap.Int64("FormerEra", int64(former.Era)), zap.Int64("Next", int64(next.Offset)), zap.Int64("Former", int64(former.Offset)), zap.String("Source", source))
	}
}
