package crash

import (
	"sync"
	"time"
)

// soundGeneration is how many parts a generation of SoundTimes holds.
const soundGeneration = 4096

// SoundTimes remembers when endpoints last answered prompts with a part, for the
// parts that were answered most recently. All request goroutines share it.
type SoundTimes struct {
	mutex    sync.Mutex
	current  map[Part]time.Time
	previous map[Part]time.Time // the generation before; dropped when current is full
}

// NewSoundTimes returns an empty SoundTimes.
func NewSoundTimes() *SoundTimes { return &SoundTimes{current: map[Part]time.Time{}} }

// Record records that an endpoint has answered a prompt with the parts.
func (soundtimes *SoundTimes) Record(parts []Part, now time.Time) {
	soundtimes.mutex.Lock()
	defer soundtimes.mutex.Unlock()
	for _, part := range parts {
		soundtimes.current[part] = now
	}
	if len(soundtimes.current) >= soundGeneration {
		soundtimes.previous, soundtimes.current = soundtimes.current, map[Part]time.Time{}
	}
}

// Last returns when a prompt with the part was last answered, or the zero time if
// that is not known.
func (soundtimes *SoundTimes) Last(part Part) time.Time {
	soundtimes.mutex.Lock()
	defer soundtimes.mutex.Unlock()
	if at, found := soundtimes.current[part]; found {
		return at
	}
	return soundtimes.previous[part]
}
