# The front door: what can be done with a checkout.

.PHONY: build run run-muscat smoke test check bench month slopes soak fuzz breaks clean

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

# Breaks each mechanism in a copy and checks that a test notices.
breaks:
	scripts/breaks.sh

clean:
	rm -rf bin
