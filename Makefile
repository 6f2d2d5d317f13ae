GOLANGCI_LINT = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
SEED ?= 1

.PHONY: all bench build control-cost demo fmt known-red lint measure properties soak test

all: build

build:
	go build -o bin/ ./cmd/...

# Runs a fleet on loopback under load and faults, and checks its guarantees.
demo:
	_scripts/demo.sh

fmt:
	$(GOLANGCI_LINT) fmt

lint:
	$(GOLANGCI_LINT) fmt --diff
	go vet ./... ./_scripts/demo ./_scripts/controlcost
	$(GOLANGCI_LINT) run ./... ./_scripts/demo ./_scripts/controlcost

# pkg/measure simulates hours of traffic, which takes ten times as long with the race detector.
# The seed of the property-based tests is fixed: every run executes the same cases.
test:
	RAPID_SEED=$(SEED) go test -race -count=1 -timeout 5m $$(go list ./... | grep -v /pkg/measure)
	RAPID_SEED=$(SEED) go test -count=1 -timeout 5m ./pkg/measure
	@echo "Known to fail (KNOWN-RED.txt):"; grep '^Test' KNOWN-RED.txt || true

# Runs the commands of KNOWN-RED.txt and prints their results. It succeeds either way.
known-red:
	@grep -E '^  ([A-Z_]+=[^ ]+ )*go test ' KNOWN-RED.txt | while read -r command; do \
		echo "$$command"; KNOWN_RED=1 sh -c "$$command" 2>&1 | grep -E '^(ok|FAIL)|want at most' | sort -u; done

# Runs all benchmarks in at most five minutes.
bench:
	go test -p 1 -run xxx -bench . -benchtime 300ms -timeout 5m ./pkg/... ./service/...

# Measures the cost of an idle node process at the current fleet size, a medium size and the size that the design targets.
control-cost:
	go run ./_scripts/controlcost
	go run ./_scripts/controlcost -hosts 200 -services 60 -servers 2000 -routes 1200 -tenants 8000
	go run ./_scripts/controlcost -hosts 840 -services 260 -servers 11000 -routes 5400 -tenants 37000

# Prints results of failure detection and dispatch beside their baselines. The same seed gives the same figures.
measure:
	go test -count=1 -timeout 5m -run 'Health|Dispatch|Surge' -v ./pkg/measure

# Runs the fault soak with SEEDS consecutive seeds on a fleet of NODES processes. FIRST defaults to the current Unix time.
SEEDS ?= 10
FIRST ?= $(shell date +%s)
NODES ?= 5
soak:
	SOAK_SEEDS=$(SEEDS) SOAK_FIRST=$(FIRST) SOAK_NODES=$(NODES) go test -count=1 -timeout 60m -v ./test/soak

# Repeats the property-based tests for SOAK seconds, each time with a random seed. rapid prints the seed of a failure.
SOAK ?= 60
properties:
	end=$$(( $$(date +%s) + $(SOAK) )); while [ $$(date +%s) -lt $$end ]; do \
		RAPID_SEED=0 go test -count=1 -timeout 4m ./pkg/decide/... ./pkg/configcmd ./pkg/configquery ./internal/decide/... || exit 1; done
