package crash

import (
	"sync"
	"time"
)

// soundGeneration is how many inputs a generation of SoundTimes holds.
const soundGeneration = 4096

// SoundTimes remembers when endpoints last answered requests with an input, for the
// inputs that were answered most recently. All request goroutines share it.
type SoundTimes struct {
	mutex    sync.Mutex
	current  map[Input]time.Time
	previous map[Input]time.Time // the generation before; dropped when current is full
}

// NewSoundTimes returns an empty SoundTimes.
func NewSoundTimes() *SoundTimes { return &SoundTimes{current: map[Input]time.Time{}} }

// Record records that an endpoint has answered a request with the inputs.
func (soundtimes *SoundTimes) Record(inputs []Input, now time.Time) {
	soundtimes.mutex.Lock()
	defer soundtimes.mutex.Unlock()
	for _, input := range inputs {
		soundtimes.current[input] = now
	}
	if len(soundtimes.current) >= soundGeneration {
		soundtimes.previous, soundtimes.current = soundtimes.current, map[Input]time.Time{}
	}
}

// Last returns when a request with the input was last answered, or the zero time if
// that is not known.
func (soundtimes *SoundTimes) Last(input Input) time.Time {
	soundtimes.mutex.Lock()
	defer soundtimes.mutex.Unlock()
	if at, found := soundtimes.current[input]; found {
		return at
	}
	return soundtimes.previous[input]
}
