# Targets for building, running and checking the project.

.PHONY: build run run-muscat smoke test check bench month sizes members slopes soak faults faults-short faults-upgrade faults-breaks crowd fuzz breaks experiment clean

build:
	go build -o bin/ ./cmd/...

# Starts the stand-ins and three nodes, applies the example's spec, and runs until
# interrupted.
run: build
	scripts/run.sh ravenala

run-muscat: build
	scripts/run.sh muscat

# Runs both example deployments under load for some seconds and checks every
# response.
smoke: build
	scripts/smoke.sh

# Runs the tests, except those that KNOWN-RED.txt lists.
test:
	scripts/test.sh

# Checks format, vet, linter and module checksums.
check:
	scripts/check.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Compares the downtime and the stranded time of the placement policy and of the
# first-fit baseline over a simulated month.
month:
	HICKORYBEND_MONTH=1 go test ./core/place -run TestMonthAgainst -v -timeout 10m

# Simulates days with losses and prints what is served, by the sizes of the models.
sizes:
	HICKORYBEND_SIZES=1 go test ./core/fleet -run TestDayBySize -v

# Simulates an hour of nodes that come and go, at three sizes, for docs/CAPACITY.md.
members:
	HICKORYBEND_MEMBERS=1 go test ./core/member -run TestMembershipAtScale -v -timeout 20m

# Measures the costs from which docs/CAPACITY.md is computed.
slopes:
	HICKORYBEND_SLOPES=1 go test ./io/node -run TestSlopes -v

# Measures routing and admission at 0.5, 0.9 and 1.3 of capacity, and with a host
# failing.
experiment: build
	scripts/experiment.sh

# Runs the property-based tests with more checks and a new random seed.
soak:
	go test ./core/config ./core/lease ./core/group ./core/relay ./core/route -rapid.checks=20000 -rapid.steps=60 -rapid.seed=0 -timeout 30m
	go test ./io/front -run AtMostOnce -rapid.checks=1500 -rapid.seed=0 -timeout 30m

# Injects random faults into the real programs. To choose the seeds:
# SEEDS=51-100 make faults
SEEDS ?= 1-50
faults: build
	bin/hbsoak --seeds $(SEEDS) --jobs 3

# The same with an earlier build, whose programs are in OTHER, on half of the starts of
# nodes: OTHER=/path/to/bin make faults-upgrade
faults-upgrade: build
	bin/hbsoak --seeds $(SEEDS) --jobs 3 --other-bin $(OTHER)

# Runs two seeds and those that had a finding before.
faults-short: build
	bin/hbsoak --seeds 1,2,io/soak/testdata/seeds.txt --jobs 3

# Breaks mechanisms of a node in a copy of the tree and checks that a soak seed
# detects each break.
faults-breaks:
	scripts/soak-breaks.sh

# Sends crowds of misbehaving clients to a node's program and prints what they cost it, for docs/OPERATIONS.md.
# HICKORYBEND_CROWD_BIN=/path/to/hickorybend make crowd runs another build.
crowd:
	HICKORYBEND_CROWD=1 go test ./platform/crowd -run TestCrowd -v -timeout 30m

fuzz:
	go test ./core/relay -run '^$$' -fuzz FuzzChunk -fuzztime 60s
	go test ./core/jsonc -run '^$$' -fuzz FuzzDecode -fuzztime 60s
	go test ./io/front -run '^$$' -fuzz FuzzDecode -fuzztime 60s
	go test ./platform -run '^$$' -fuzz FuzzStoreAnswer -fuzztime 60s -fuzzminimizetime 10x
	go test ./io/gossip -run '^$$' -fuzz FuzzDigest -fuzztime 60s -fuzzminimizetime 10x
	go test ./io/gossip -run '^$$' -fuzz FuzzReply -fuzztime 60s -fuzzminimizetime 10x

# Breaks mechanisms in a copy of the tree and checks that a test detects each break.
breaks:
	scripts/breaks.sh

clean:
	rm -rf bin
