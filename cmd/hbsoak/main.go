package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"hickorybend/io/shell"
	"hickorybend/io/soak"
)

func main() {
	flags := ff.NewFlagSet("hbsoak")
	bin := flags.StringLong("bin", "bin", "the folder of the programs")
	dir := flags.StringLong("dir", filepath.Join(os.TempDir(), "hbsoak"), "where settings and logs go; those of seeds without findings are removed")
	seeds := flags.StringLong("seeds", "1", "the seeds, as in 1,4,10-19; a file stands for the seeds at the start of its lines")
	jobs := flags.IntLong("jobs", 2, "seeds that run at once")
	var scale soak.Scale
	flags.IntVar(&scale.Nodes, 0, "nodes", 3, "nodes")
	flags.IntVar(&scale.ModelRunners, 0, "models", 12, "model runners")
	flags.IntVar(&scale.PlainRunners, 0, "plains", 3, "plain runners")
	flags.IntVar(&scale.Callers, 0, "callers", 12, "callers")
	flags.DurationVar(&scale.Duration, 0, "length", 15*time.Second, "how long the troubles last")
	shell.Main(&ff.Command{
		Name:      "hbsoak",
		Usage:     "hbsoak [FLAGS]",
		ShortHelp: "play random troubles against the real programs",
		LongHelp:  "Each seed takes about 25 s beside the troubles. It exits with 1 if a promise was not kept.",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			listed, err := parseSeeds(*seeds)
			if err != nil {
				return shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
			}
			return runAll(ctx, listed, *jobs, soak.Config{Bin: *bin, Dir: *dir, Scale: scale})
		},
	}, "HBSOAK")
}

// errSeeds says that the seeds cannot be read.
var errSeeds = errors.New("hbsoak: the seeds cannot be read")

// parseSeeds reads a list of numbers, ranges and files of seeds.
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for part := range strings.SplitSeq(text, ",") {
		if content, err := os.ReadFile(part); err == nil {
			listed, err := parseSeeds(firstWords(string(content)))
			if err != nil {
				return nil, errors.Wrapf(err, "file %s", part)
			}
			seeds = append(seeds, listed...)
			continue
		}
		from, to, ranged := strings.Cut(part, "-")
		low, errLow := strconv.ParseUint(from, 10, 64)
		high, errHigh := low, error(nil)
		if ranged {
			high, errHigh = strconv.ParseUint(to, 10, 64)
		}
		if errLow != nil || errHigh != nil || high < low || high-low > mostSeeds {
			return nil, errors.Wrapf(errSeeds, "%q", part)
		}
		for seed := low; seed <= high; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// firstWords lists the first word of each line that is no comment.
func firstWords(text string) string {
	var words []string
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); len(fields) > 0 && !strings.HasPrefix(fields[0], "#") {
			words = append(words, fields[0])
		}
	}
	return strings.Join(words, ",")
}

const mostSeeds = 100_000 // of one range

func runAll(ctx context.Context, seeds []uint64, jobs int, config soak.Config) error {
	var group sync.WaitGroup
	var mutex sync.Mutex
	failed := 0
	free := make(chan struct{}, max(1, jobs))
	for _, seed := range seeds {
		free <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			defer func() { <-free }()
			sound := runOne(ctx, seed, config)
			mutex.Lock()
			defer mutex.Unlock()
			if !sound {
				failed++
			}
		})
	}
	group.Wait()
	if failed > 0 {
		return shell.ExitError{Code: shell.CodeFailed, Message: fmt.Sprintf("hbsoak: %d of %d seeds with findings", failed, len(seeds))}
	}
	return ctx.Err()
}

// runOne plays a seed, prints what it showed, and tells whether all was kept.
func runOne(ctx context.Context, seed uint64, config soak.Config) bool {
	config.Seed = seed
	config.Dir = filepath.Join(config.Dir, strconv.FormatUint(seed, 10))
	err := os.RemoveAll(config.Dir)
	if err == nil {
		err = os.MkdirAll(config.Dir, 0o755)
	}
	var report soak.Report
	if err == nil {
		report, err = soak.Run(ctx, config)
	}
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return errors.Is(err, context.Canceled)
	}
	fmt.Printf("seed %d: %d troubles, %d of %d requests served, %d of %d after them, %d findings\n",
		seed, report.Faults, report.Served, report.Sent, report.AfterRecovery.Served, report.AfterRecovery.Sent, len(report.Findings))
	for i, finding := range report.Findings {
		if i == mostShown {
			fmt.Printf("  and more\n")
			break
		}
		fmt.Printf("  %s %s: %s\n", finding.At.UTC().Format("15:04:05.000"), finding.Invariant, finding.Text)
	}
	if len(report.Findings) == 0 {
		if err := os.RemoveAll(config.Dir); err != nil {
			fmt.Printf("seed %d: %v\n", seed, err)
		}
	}
	return len(report.Findings) == 0
}

const mostShown = 20 // findings of one seed
