# Commands of the project; see README.md.
ONCE ?=
SHORT ?=
BIN := bin
TOOLS := $(CURDIR)/$(BIN)/tools
GOLANGCI_VERSION := v2.15.0

.PHONY: build run test lint format generate tools

build:
	go build -o $(BIN)/ ./cmd/...

run: build
	$(BIN)/standin run --binary $(BIN)/baobabstack $(if $(ONCE),--once)

test:
	go test ./...

race:
	go test -race ./...

tools: $(TOOLS)/golangci-lint

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: tools
	$(TOOLS)/golangci-lint run ./...
	$(TOOLS)/golangci-lint fmt --diff ./...

format: tools
	$(TOOLS)/golangci-lint fmt ./...

generate:
	go -C tools build -o $(TOOLS)/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$(TOOLS):$$PATH protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative internal/peerwire/*.proto

.PHONY: bench prove mutants

bench: build
	$(BIN)/bench $(if $(SHORT),--short)

prove: build
	$(BIN)/prove $(if $(SHORT),--short)

mutants: build
	$(BIN)/prove --mutants
