# The front door: what can be done with a checkout.

.PHONY: build run run-muscat smoke test check bench month slopes soak faults faults-short faults-breaks fuzz breaks experiment clean

build:
	go build -o bin/ ./cmd/...

# Stand-ins, three nodes and an applied text; stays up until it is interrupted.
run: build
	scripts/run.sh ravenala

run-muscat: build
	scripts/run.sh muscat

# Both example deployments under load for some seconds, every answer checked.
smoke: build
	scripts/smoke.sh

test:
	go test ./...

# Format, vet, linter and house rules.
check:
	scripts/check.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Both measures of placement against the twin, a month of events.
month:
	HICKORYBEND_MONTH=1 go test ./core/place -run TestMonthAgainst -v -timeout 10m

# What docs/CAPACITY.md is worked out from.
slopes:
	HICKORYBEND_SLOPES=1 go test ./io/node -run TestSlopes -v

# Load and admission at 0.5, 0.9 and 1.3 of capacity and with a host dying.
experiment: build
	scripts/experiment.sh

# The state machines for longer, with seeds of the run's own.
soak:
	go test ./core/config ./core/lease ./core/group ./core/relay ./core/route -rapid.checks=20000 -rapid.steps=60 -rapid.seed=0 -timeout 30m
	go test ./io/front -run AtMostOnce -rapid.checks=1500 -rapid.seed=0 -timeout 30m

# Random troubles against the real programs; SEEDS=51-100 make faults.
SEEDS ?= 1-50
faults: build
	bin/hbsoak --seeds $(SEEDS) --jobs 3

# Two seeds, and those that ever had a finding.
faults-short: build
	bin/hbsoak --seeds 1,2,io/soak/testdata/seeds.txt --jobs 3

# Breaks mechanisms of a node in a copy and checks that a seed notices.
faults-breaks:
	scripts/soak-breaks.sh

fuzz:
	go test ./core/relay -run '^$$' -fuzz FuzzChunk -fuzztime 60s
	go test ./core/jsonc -run '^$$' -fuzz FuzzDecode -fuzztime 60s
	go test ./io/front -run '^$$' -fuzz FuzzDecode -fuzztime 60s

# Breaks each mechanism in a copy and checks that a test notices.
breaks:
	scripts/breaks.sh

clean:
	rm -rf bin
