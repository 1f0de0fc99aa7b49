package steering

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Host is one entry host of a response.
type Host struct {
	ID            model.HostID
	Address       string
	Region        model.Region
	FailureDomain model.FailureDomain
	// Incarnation is the incarnation of the entry process.
	Incarnation model.Incarnation
}

// fragment is the rendered JSON of one host in a response. The owner token, which
// ends with the issue time, is the last field: everything before the time is
// rendered once, and each response only inserts the digits.
type fragment struct {
	host Host
	text []byte
	// token is the owner token without its issue time, escaped for JSON.
	token []byte
}

type hostJSON struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	Owner         string `json:"owner"`
}

// fragmentEnd closes the owner token and the host object after the issue time.
const fragmentEnd = `"}`

func newFragment(h Host) *fragment {
	token := fmt.Sprintf("%s.%d.", h.ID, h.Incarnation)
	text := mustMarshal(hostJSON{
		Host:          string(h.ID),
		Address:       h.Address,
		Region:        string(h.Region),
		FailureDomain: string(h.FailureDomain),
		Incarnation:   uint64(h.Incarnation),
		Owner:         token,
	})
	quoted := mustMarshal(token)
	return &fragment{
		host:  h,
		text:  text[:len(text)-len(fragmentEnd)],
		token: quoted[1 : len(quoted)-1],
	}
}

// mustMarshal encodes values of strings and numbers, for which json.Marshal cannot
// fail.
func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// newJSONHead renders the start of the responses for one home region.
func newJSONHead(generation model.Generation, cache time.Duration, home model.Region) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"cache_seconds":%d,"home_region":%s`,
		generation, int(cache.Seconds()), mustMarshal(string(home)))
}

// AppendJSON appends the response with owner tokens of the given issue time. It
// does not allocate if dst has enough capacity.
func (r *Response) AppendJSON(dst []byte, issued time.Time) []byte {
	var buf [20]byte
	digits := strconv.AppendInt(buf[:0], issued.Unix(), 10)
	dst = append(dst, r.table.jsonHeads[r.home]...)
	if r.count > 0 {
		dst = append(dst, `,"owner":"`...)
		dst = append(dst, r.hosts[0].token...)
		dst = append(dst, digits...)
		dst = append(dst, '"')
	}
	dst = append(dst, `,"hosts":[`...)
	for i, f := range r.hosts[:r.count] {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = append(dst, f.text...)
		dst = append(dst, digits...)
		dst = append(dst, fragmentEnd...)
	}
	return append(dst, "]}\n"...)
}
