# Targets for developers and CI. GOLANGCI is pinned; go run fetches and caches it.
GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
SCHEMAS  := $(sort $(basename $(notdir $(wildcard schema/*.json))))
BIN      := bin

.PHONY: all build test lint fmt-check generate generate-check libc-check demo ci

all: build

build:
	CGO_ENABLED=1 go build -o $(BIN)/samphired ./cmd/samphired
	CGO_ENABLED=1 go build -o $(BIN)/samphirectl ./cmd/samphirectl

# Runs all tests with the race detector, except those whose names match SKIP. The crowds of clients outside the limits run after the others, since they
# measure the memory of a process while nothing else loads the machine.
SKIP   ?= ^$$
CROWDS := ^TestClientsOutsideTheLimits$$
test:
	CGO_ENABLED=1 go test -race -timeout 20m -skip '$(SKIP)|$(CROWDS)' ./...
	CGO_ENABLED=1 go test -race -timeout 20m -run '$(CROWDS)' -skip '$(SKIP)' ./platform

lint:
	go vet ./...
	$(GOLANGCI) run ./...

fmt-check:
	@test -z "$$(gofmt -l cmd internal platform)" || { gofmt -l cmd internal platform; exit 1; }

generate:
	@for s in $(SCHEMAS); do \
	  go tool go-jsonschema --only-models --tags json --disable-omitzero -p api --capitalization ID,URL,MS \
	    -o internal/api/$$s.gen.go schema/$$s.json || exit 1; done

generate-check: generate
	@git diff --exit-code -- internal/api || { echo "generated code differs from the schema; run make generate"; exit 1; }

# Shows that both binaries are linked to the C library.
libc-check: build
	@for b in samphired samphirectl; do ldd $(BIN)/$$b | grep -q 'libc\.so' || { echo "$$b is not linked to the C library"; exit 1; }; \
	  echo "$$b: $$(ldd $(BIN)/$$b | grep 'libc\.so')"; done

# Runs a whole deployment on loopback under load and faults. DEPLOYMENT is blue-mahoe or orchards.
DEPLOYMENT ?= blue-mahoe
demo: build
	$(BIN)/samphirectl demo --deployment $(DEPLOYMENT)

ci: fmt-check generate-check lint libc-check test
