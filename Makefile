# Every target works with Go alone.
.PHONY: build demo test check bench capacity generate

build:
	go build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test:
	go test -skip "$$(./scripts/known-red.sh)" ./...

# Formatter and linters; CI runs the same.
check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

# Measures slopes on this machine; docs/CAPACITY.md is rendered from the
# committed copy docs/capacity-slopes.json.
capacity: build
	mkdir -p out
	go test -run xxx -bench . -benchtime 20x ./pkg/membership ./pkg/configreplica > out/bench.txt
	echo "pkg: internal/agent" >> out/bench.txt
	go test -count=1 -v -run TestQuietFleet ./internal/agent >> out/bench.txt
	./bin/wisteria-capacity measure --out out/capacity.json --bench out/bench.txt

# Needs protoc. The generated code is committed, so a build does not run this.
generate:
	mkdir -p out
	go build -o out/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=protoc-gen-go=out/protoc-gen-go --go_out=. \
		--go_opt=module=github.com/wisteriacrank/wisteriacrank proto/wire.proto

bench: build
	./bin/wisteria-bench
