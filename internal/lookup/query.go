package lookup

import (
	"net/netip"
	"net/url"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

const (
	maxQueryBytes   = 512
	maxServiceBytes = 128
	// mappedBits is the prefix length of the IPv4-mapped IPv6 addresses.
	mappedBits = 96
)

// query is a decoded lookup.
type query struct {
	service model.Service
	block   netip.Prefix
}

// parseQuery decodes the query string of a lookup URL. Keys other than service
// and block are ignored; a key that is given twice is refused, because parsers
// disagree on which value counts.
func parseQuery(raw string) (query, *result.Error) {
	if len(raw) > maxQueryBytes {
		return query{}, result.Errorf(result.BadRequest, "query of %d bytes, limit %d", len(raw), maxQueryBytes)
	}
	var service, block string
	for raw != "" {
		var pair string
		pair, raw, _ = strings.Cut(raw, "&")
		key, value, _ := strings.Cut(pair, "=")
		var target *string
		switch key {
		case "service":
			target = &service
		case "block":
			target = &block
		default:
			continue
		}
		if *target != "" {
			return query{}, result.Errorf(result.BadRequest, "%s is given twice", key)
		}
		decoded, err := url.QueryUnescape(value)
		if err != nil {
			return query{}, result.Errorf(result.BadRequest, "%s: %v", key, err)
		}
		*target = decoded
	}
	return checkQuery(service, block)
}

func checkQuery(service, block string) (query, *result.Error) {
	if service == "" || len(service) > maxServiceBytes {
		return query{}, result.Errorf(result.BadRequest, "service of %d bytes, want 1 to %d", len(service), maxServiceBytes)
	}
	prefix, err := netip.ParsePrefix(block)
	if err != nil {
		return query{}, result.Errorf(result.BadRequest, "block: %v", err)
	}
	if prefix.Addr().Is4In6() {
		if prefix.Bits() < mappedBits {
			return query{}, result.Errorf(result.BadRequest, "block %s contains more than the IPv4-mapped addresses", prefix)
		}
		prefix = netip.PrefixFrom(prefix.Addr().Unmap(), prefix.Bits()-mappedBits)
	}
	return query{service: model.Service(service), block: prefix.Masked()}, nil
}
