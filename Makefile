# Commands of the project; see README.md.
ONCE ?=
SHORT ?=
MEASURES ?=
BIN := bin
TOOLS := $(CURDIR)/$(BIN)/tools
GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0

.PHONY: build run test lint format generate tools

build:
	go build -o $(BIN)/ ./cmd/...

run: build
	$(BIN)/standin run --binary $(BIN)/baobabstack $(if $(ONCE),--once)

# Results are never taken from the cache: go test does not see that the proofs
# build and run the program.
test:
	go test -count=1 ./...

# Crowds of callers that are not controlled, one test at a time and apart from other load.
.PHONY: crowd
crowd:
	CROWD=1 go test -count=1 -p 1 -run Crowd ./proof

race:
	go test -race -count=1 ./...

tools: $(TOOLS)/golangci-lint

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

# The language server, for renames: gopls rename -w FILE:LINE:COLUMN NEWNAME.
.PHONY: gopls
gopls: $(TOOLS)/gopls

$(TOOLS)/gopls:
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: tools
	$(TOOLS)/golangci-lint run ./...
	$(TOOLS)/golangci-lint fmt --diff ./...

format: tools
	$(TOOLS)/golangci-lint fmt ./...

generate:
	go -C tools build -o $(TOOLS)/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$(TOOLS):$$PATH protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative internal/peerwire/*.proto internal/fleetwire/*.proto

.PHONY: bench prove mutants

bench: build
	$(BIN)/bench $(if $(SHORT),--short) $(MEASURES)

prove: build
	$(BIN)/prove $(if $(SHORT),--short)

mutants: build
	$(BIN)/prove --mutants

.PHONY: proofs-page

proofs-page: build
	$(BIN)/prove --page docs/PROOFS.md

.PHONY: fuzz

# Inputs that each fuzz target gets. It is a count because go test can report the end
# of a time limit as a failure of the target.
FUZZRUNS ?= 60000x
# Inputs for FuzzPulledList, which runs a control loop for each.
FUZZRUNS_PULLED ?= 60x

# Runs every fuzz target, one after the other.
fuzz:
	@for pkg in $$(go list ./...); do \
		for target in $$(go test -list '^Fuzz' $$pkg 2>/dev/null | grep '^Fuzz'); do \
			case $$target in FuzzPulledList) runs=$(FUZZRUNS_PULLED);; *) runs=$(FUZZRUNS);; esac; \
			go test -run '^$$' -fuzz "^$$target\$$" -fuzztime $$runs $$pkg || exit 1; \
		done; \
	done

.PHONY: soak soak-defects

SEED ?=
MINUTES ?=
GATEWAYS ?=
SOAK_SECONDS := 8
# Seeds that are run in CI, with their faults: one, and those that ever failed,
# which are listed in proof/soak/seeds.txt.
SOAK_SHORT := 1@general 1@places 1@general,places,copies $(shell sed -n 's/^\([0-9][^ ]*\) .*/\1/p' proof/soak/seeds.txt)

# Runs the fault soak: one seed, or fresh seeds for some minutes, or a short run; with
# GATEWAYS=60 of many processes.
soak: build
	$(BIN)/soak --seconds $(SOAK_SECONDS) $(if $(GATEWAYS),--gateways $(GATEWAYS)) $(if $(SEED),--seed $(SEED),$(if $(SHORT),$(addprefix --seed ,$(SOAK_SHORT)),--runs $(if $(MINUTES),$(shell expr $(MINUTES) '*' 2),10)))

# Shows that the soak finds each deliberate defect: every line must end in violations.
soak-defects:
	go build -tags defects -o $(BIN)/defects/ ./cmd/baobabstack
	@for defect in gateway-resend-unsafe gateway-refuse-unknown gateway-ignore-leaving gateway-ignore-standing gateway-pass-cut-answers gateway-ignore-evacuation gateway-ignore-store-era; do \
		echo "== $$defect"; \
		if $(BIN)/soak --binary $(BIN)/defects/baobabstack --defect $$defect --seconds 25 --seed 1@general --seed 2@general --seed 1@places --seed 1@copies,configuration | grep -E '^(seed|VIOLATION)' | head -3; then :; fi; \
	done

.PHONY: scores

BENCH ?=
DEPLOYMENTS ?=
WHY ?=
JOBS ?= 2

# Quick scores of the users' deployments with their bench, one after the other:
# make scores BENCH=PROGRAM DEPLOYMENTS="FILE ..." WHY="TEXT". Large ones need JOBS=1.
scores:
	@for site in $(DEPLOYMENTS); do $(BENCH) score $$site --quick --jobs $(JOBS) --why "$(WHY)" || exit 1; done
