# Targets: build, test, race, fuzz, lint, run, check, claims, sites.
CONFIG ?= config.json
FUZZTIME ?= 30s
# Of the experiments; 0 draws one, which is printed.
SEED ?= 0
# Where the bench is, and which of its files stand beside a site file.
GIVEN ?= ../given
BESIDE = real.json wire.json unlock.txt

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -count=1 -race ./...

fuzz:
	go test -run '^$$' -fuzz FuzzConnection -fuzztime $(FUZZTIME) ./internal/downstream
	go test -run '^$$' -fuzz FuzzAttempts -fuzztime $(FUZZTIME) ./internal/upstream
	go test -run '^$$' -fuzz FuzzRequests -fuzztime $(FUZZTIME) ./internal/dispatcher
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./internal/endpoints
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./internal/control
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./internal/handoff
	go test -run '^$$' -fuzz FuzzPhases -fuzztime $(FUZZTIME) ./internal/dispatcher
	go test -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZTIME) ./internal/cluster/gossip/wire
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./internal/cluster/consensus/wire
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./internal/cluster/config
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./internal/cluster/shard/wire
	go test -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZTIME) ./internal/cluster/migration/wire
	go test -run '^$$' -fuzz FuzzFrame -fuzztime $(FUZZTIME) ./internal/cluster/shardrouter
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./internal/cluster/mesh

lint:
	test -z "$$(gofmt -l balance cmd internal)"
	go vet ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...

generate:
	go generate ./...

run: build
	RELAY_CONFIG=$(CONFIG) bin/bellstream

check:
	.ci/run

# What the experiments claim, before anything lands that touches the module or the exchange.
claims: build
	bin/bellstream-lab run all --quick --seed $(SEED)

# What the bench wants beside the site files of deploy/sites; git ignores it there.
sites:
	@for f in $(BESIDE); do test -r $(GIVEN)/kit/more/mass/other/$$f || \
		{ echo "sites: no $(GIVEN)/kit/more/mass/other/$$f: is the bench here? GIVEN=FOLDER says where" >&2; exit 1; }; done
	install -m 644 $(BESIDE:%=$(GIVEN)/kit/more/mass/other/%) deploy/sites/

.PHONY: build test race fuzz lint generate run check claims sites
