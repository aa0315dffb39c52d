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
	bin := flags.StringLong("bin", "bin", "directory of the programs")
	otherBin := flags.StringLong("other-bin", "", "directory of another build, which nodes run at half of their starts")
	dir := flags.StringLong("dir", filepath.Join(os.TempDir(), "hbsoak"), "directory for settings and logs; those of seeds without findings are removed")
	seeds := flags.StringLong("seeds", "1", "seeds, such as 1,4,10-19; a file name stands for the seeds at the start of its lines")
	jobs := flags.IntLong("jobs", 2, "number of seeds that run at once")
	var scale soak.Scale
	flags.IntVar(&scale.Nodes, 0, "nodes", 3, "number of nodes")
	flags.IntVar(&scale.ModelRunners, 0, "models", 12, "number of runners of the model service")
	flags.IntVar(&scale.PlainRunners, 0, "plains", 3, "number of runners of the plain service")
	flags.IntVar(&scale.Callers, 0, "callers", 12, "number of callers")
	flags.DurationVar(&scale.Duration, 0, "length", 15*time.Second, "time in which faults begin")
	shell.Main(&ff.Command{
		Name:      "hbsoak",
		Usage:     "hbsoak [FLAGS]",
		ShortHelp: "run the real programs under random faults and check invariants",
		LongHelp:  "Each seed takes about 25 s in addition to --length. The exit status is 1 if an invariant was violated.",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			parsed, err := parseSeeds(*seeds)
			if err != nil {
				return shell.ExitError{Code: shell.CodeUsage, Message: err.Error()}
			}
			return runAll(ctx, parsed, *jobs, soak.Config{Bin: *bin, OtherBin: *otherBin, Dir: *dir, Scale: scale})
		},
	}, "HBSOAK")
}

// errSeeds means that the list of seeds is invalid.
var errSeeds = errors.New("hbsoak: invalid list of seeds")

// parseSeeds parses a comma-separated list of seeds, ranges of seeds and names of
// files with seeds.
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for item := range strings.SplitSeq(text, ",") {
		if content, err := os.ReadFile(item); err == nil {
			listed, err := parseSeeds(firstFields(string(content)))
			if err != nil {
				return nil, errors.Wrapf(err, "file %s", item)
			}
			seeds = append(seeds, listed...)
			continue
		}
		from, to, ranged := strings.Cut(item, "-")
		low, errLow := strconv.ParseUint(from, 10, 64)
		high, errHigh := low, error(nil)
		if ranged {
			high, errHigh = strconv.ParseUint(to, 10, 64)
		}
		if errLow != nil || errHigh != nil || high < low || high-low >= maxRangeSize {
			return nil, errors.Wrapf(errSeeds, "%q", item)
		}
		for seed := low; seed <= high; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// firstFields joins the first field of each line that is not a comment with
// commas.
func firstFields(text string) string {
	var first []string
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); len(fields) > 0 && !strings.HasPrefix(fields[0], "#") {
			first = append(first, fields[0])
		}
	}
	return strings.Join(first, ",")
}

const maxRangeSize = 100_000 // seeds

// runAll runs the seeds, at most jobs of them at once.
func runAll(ctx context.Context, seeds []uint64, jobs int, config soak.Config) error {
	var group sync.WaitGroup
	var mutex sync.Mutex
	failed := 0
	slots := make(chan struct{}, max(1, jobs))
	for _, seed := range seeds {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			defer func() { <-slots }()
			passed := runOne(ctx, seed, config)
			mutex.Lock()
			defer mutex.Unlock()
			if !passed {
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

// runOne runs a seed, prints its result, and reports whether it had no findings. A
// canceled run counts as one without findings.
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
	// scripts/soak-breaks.sh matches this line.
	fmt.Printf("seed %d: %d troubles, %d of %d requests served, %d of %d after them, %d findings\n",
		seed, report.Faults, report.Served, report.Sent, report.AfterRecovery.Served, report.AfterRecovery.Sent, len(report.Findings))
	for i, finding := range report.Findings {
		if i == maxFindingsShown {
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

const maxFindingsShown = 20 // per seed
