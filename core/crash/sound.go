package crash

import (
	"sync"
	"time"
)

// The number of inputs that a generation of SoundUses holds.
const (
	PartGeneration    = 4096
	RequestGeneration = 32768 // whole requests are far more than parts
)

// Uses are requests with an input that endpoints have answered.
type Uses struct {
	Count int       // those that their endpoints have outlived
	Last  time.Time // when the latest answer began, also if the endpoint has not outlived it yet; zero if there is none
}

// SoundUses remembers the uses of the inputs that were answered most recently. All
// request goroutines share it.
type SoundUses struct {
	mutex      sync.Mutex
	generation int // inputs in one generation
	current    map[Input]Uses
	previous   map[Input]Uses // the generation before; dropped when current is full
}

// NewSoundUses returns an empty SoundUses that remembers at least as many inputs as a
// generation holds, and at most twice as many.
func NewSoundUses(generation int) *SoundUses {
	return &SoundUses{generation: generation, current: map[Input]Uses{}}
}

// RecordKnown records an answer that began at a time, and that does not count yet.
func (sounduses *SoundUses) RecordKnown(input Input, at time.Time) { sounduses.add(input, at, 0) }

// Record records a use whose answer began at a time.
func (sounduses *SoundUses) Record(input Input, at time.Time) { sounduses.add(input, at, 1) }

func (sounduses *SoundUses) add(input Input, at time.Time, count int) {
	sounduses.mutex.Lock()
	defer sounduses.mutex.Unlock()
	uses := sounduses.of(input)
	uses.Count += count
	if at.After(uses.Last) {
		uses.Last = at
	}
	sounduses.current[input] = uses
	if len(sounduses.current) >= sounduses.generation {
		sounduses.previous, sounduses.current = sounduses.current, map[Input]Uses{}
	}
}

// Of returns what is known of the uses of an input.
func (sounduses *SoundUses) Of(input Input) Uses {
	sounduses.mutex.Lock()
	defer sounduses.mutex.Unlock()
	return sounduses.of(input)
}

func (sounduses *SoundUses) of(input Input) Uses {
	if uses, found := sounduses.current[input]; found {
		return uses
	}
	return sounduses.previous[input]
}
