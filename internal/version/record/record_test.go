package record_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

func mustParse(t testing.TB, text string) *record.Record {
	t.Helper()
	r, err := record.Parse([]byte(text))
	assert.NilError(t, err)
	return r
}

func newRecord(t testing.TB, value any) *record.Record {
	t.Helper()
	r, err := record.New(value)
	assert.NilError(t, err)
	return r
}

const targetV1 = `{"Kind":"Target","SchemaVersion":1,"Name":"e1","VM":"vm1","Zone":"a","Region":"r",
	"Address":"10.0.0.1:7000","Model":"m"}`

const targetV2 = `{"Kind":"Target","SchemaVersion":2,"Name":"e2","VM":"vm1","Domain":"a","Region":"r",
	"Address":"10.0.0.1:7001","Models":[{"Name":"m","Future":{"Deep":1}}],"Later":true}`

func TestOldAndNewSchemaVersionsCoexist(t *testing.T) {
	old := mustParse(t, targetV1).Value().(*record.Target)
	assert.Equal(t, old.Domain, ident.DomainName("a"))
	assert.DeepEqual(t, old.Models, []record.TargetModel{{Name: "m"}})

	set := record.NewSet(1, []*record.Record{mustParse(t, targetV1), mustParse(t, targetV2)})
	pool := set.ModelTargets("m")
	assert.Equal(t, len(pool), 2)
	r, _ := set.Get(record.Key{Kind: record.KindTarget, Name: "e1"})
	assert.Assert(t, strings.Contains(string(r.JSON()), `"Zone":"a"`), "the JSON keeps its schema version")
}

func TestUnknownFieldsArePreserved(t *testing.T) {
	r := mustParse(t, targetV2)
	next, err := r.WithVersion(7)
	assert.NilError(t, err)
	assert.Equal(t, next.Version(), ident.Version(7))
	text := string(next.JSON())
	assert.Assert(t, strings.Contains(text, `"Later":true`))
	assert.Assert(t, strings.Contains(text, `"Future":{"Deep":1}`), "nested unknown fields are preserved too")
	assert.Assert(t, r.SameContent(next))
}

func TestRecordsOfNewerBuildsArePreserved(t *testing.T) {
	unknown := []byte(`{"Kind":"Quota","SchemaVersion":1,"Name":"q","Version":3}`)
	_, err := record.Parse(unknown)
	assert.ErrorContains(t, err, `"Quota" is unknown`)
	r, err := record.ParseCommitted(unknown)
	assert.NilError(t, err)
	assert.Assert(t, r.Value() == nil)
	set := record.NewSet(1, []*record.Record{r})
	assert.Equal(t, set.FullDelta().Records[0], r)

	retyped := []byte(`{"Kind":"Customer","SchemaVersion":9,"Name":"c","Keys":{"Form":"new"}}`)
	r, err = record.ParseCommitted(retyped)
	assert.NilError(t, err)
	assert.Assert(t, r.Value() == nil)
}

// Guards against a record that is accepted though one of its fields stands under a name in other
// capitals or twice, so that what is in force isn't what the operator meant.
func TestNamesOfRecordsAreExact(t *testing.T) {
	valid := `{"Kind":"Customer","SchemaVersion":1,"Name":"c","Keys":["` + strings.Repeat("0a", 32) + `"],"Weight":2,"Limits":{"InFlight":7},"Newer":{"inflight":1}}`
	_, err := record.Parse([]byte(valid))
	assert.NilError(t, err)
	for name, change := range map[string][2]string{
		"in capitals":         {`"Weight"`, `"WEIGHT"`},
		"in capitals, nested": {`"InFlight"`, `"inFlight"`},
		"twice":               {`"Weight":2`, `"Weight":1,"Weight":2`},
		"twice, nested":       {`"InFlight":7`, `"InFlight":1,"InFlight":7`},
	} {
		t.Run(name, func(t *testing.T) {
			text := []byte(strings.Replace(valid, change[0], change[1], 1))
			_, err := record.Parse(text)
			assert.Assert(t, err != nil)
			_, err = record.ParseCommitted(text)
			assert.NilError(t, err, "an earlier release may have accepted it")
		})
	}
}

func TestReadFileReportsAllFaults(t *testing.T) {
	file := `[{"Kind":"Target","SchemaVersion":2,"Name":"e","Address":"nowhere","Role":"Cook"},
		{"Kind":"Customer","SchemaVersion":1,"Name":"c","Keys":["zz"]},
		{"Kind":"Route","SchemaVersion":1,"Name":"r","LoadBound":0.5,"Timeout":"-1s"},
		{"Kind":"Customer","SchemaVersion":1,"Name":"d","Keys":"no list"},
		{"SchemaVersion":"x"}, 7]`
	_, err := record.ReadFile("fleet.json", strings.NewReader(file))
	var faults *record.Faults
	assert.Assert(t, errors.As(err, &faults))
	for _, want := range []string{
		"fleet.json: record 1 (Target/e): VM: is empty",
		"fleet.json: record 1 (Target/e): Address: \"nowhere\" is not host:port",
		"fleet.json: record 1 (Target/e): Role: \"Cook\" is unknown",
		"fleet.json: record 1 (Target/e): Role: needs Models",
		"fleet.json: record 2 (Customer/c): decode fields: key hash has 2 digits, want 64",
		"fleet.json: record 3 (Route/r): LoadBound: 0.5 is below 1",
		"fleet.json: record 3 (Route/r): Timeout: is negative",
		"fleet.json: record 4 (Customer/d): Keys: is a string",
		"fleet.json: record 5: Kind: is missing",
		"fleet.json: record 6: record is no JSON object",
	} {
		assert.Assert(t, strings.Contains(err.Error(), want), "%s\nis not in\n%s", want, err)
	}
}

func TestReadFile(t *testing.T) {
	stream := targetV1 + "\n" + targetV2
	for _, text := range []string{stream, "[" + targetV1 + "," + targetV2 + "]"} {
		records, err := record.ReadFile("f", strings.NewReader(text))
		assert.NilError(t, err)
		assert.Equal(t, len(records), 2)
	}
	for text, want := range map[string]string{
		"[\n{},\n{]":               "f: line 3:",
		targetV1 + "\n\n{":         "f: record 2:",
		targetV1 + targetV1:        "stands twice, as records 1 and 2",
		`{"kind":"Target"}`:        "kind: is written Kind",
		`{"Kind":"","Name":"x"}`:   "SchemaVersion: is missing",
		`[{"Kind":"A","Name":""}]`: "record 1 (A/): SchemaVersion: is missing",
	} {
		_, err := record.ReadFile("f", strings.NewReader(text))
		assert.ErrorContains(t, err, want)
	}
}

func TestCheckFindsFaultsBetweenRecords(t *testing.T) {
	key := record.HashKey("secret")
	set := record.NewSet(1, []*record.Record{
		newRecord(t, &record.Customer{Name: "a", Keys: []record.KeyHash{key}}),
		newRecord(t, &record.Customer{Name: "b", Keys: []record.KeyHash{key}}),
		newRecord(t, &record.Model{Name: "m", Versions: []record.ModelVersion{{Name: "1", Adapters: []string{"x"}}}}),
		newRecord(t, &record.Route{Name: "r1", Model: "m", ModelVersion: "2", Adapter: "y", Customers: []ident.CustomerName{"c"}}),
		newRecord(t, &record.Route{Name: "r2", Model: "n"}),
		newRecord(t, &record.Route{Name: "r3", Service: "s"}),
		newRecord(t, &record.Route{Name: "r4", Service: "s"}),
		mustParse(t, targetV2),
	})
	err := set.Check()
	for _, want := range []string{
		"Customer/b: Keys[0]: belongs to customer a too", `Route/r1: Customers[0]: customer "c" is unknown`,
		`Route/r1: ModelVersion: model m has no version "2"`, `Route/r1: Adapter: model m has no adapter "y"`,
		`Route/r2: Model: model "n" is unknown`, `Route/r3: Service: service "s" is unknown`,
		"Route/r4: takes the same requests as route r3",
	} {
		assert.ErrorContains(t, err, want)
	}
}

func TestSetLookups(t *testing.T) {
	set := record.NewSet(4, []*record.Record{
		newRecord(t, &record.Customer{Name: "a", Keys: []record.KeyHash{record.HashKey("secret")}}),
		newRecord(t, &record.Model{Name: "m", Versions: []record.ModelVersion{{Name: "1"}}}),
		newRecord(t, &record.Route{Name: "all", Model: "m"}),
		newRecord(t, &record.Route{Name: "own", Model: "m", Customers: []ident.CustomerName{"a"}, Region: "r"}),
		mustParse(t, targetV1), mustParse(t, targetV2),
	})
	assert.NilError(t, set.Check())
	customer, found := set.CustomerByKey(record.HashKey("secret"))
	assert.Assert(t, found && customer.Name == "a")
	own, _ := set.ModelRoute("a", "m")
	assert.Equal(t, own.Name, "own")
	other, _ := set.ModelRoute("b", "m")
	assert.Equal(t, other.Name, "all")
	assert.Equal(t, len(set.Candidates(own)), 2)

	departure := newRecord(t, &record.Departure{Name: "target/e1", Target: "e1"})
	next, err := set.Apply(record.Delta{From: 4, To: 5, Records: []*record.Record{departure}})
	assert.NilError(t, err)
	assert.Assert(t, next.TargetLeaving("e1") && !next.TargetLeaving("e2") && !set.TargetLeaving("e1"))
	assert.Equal(t, len(next.Candidates(own)), 1)
	vm := newRecord(t, &record.Departure{Name: "vm/vm1", VM: "vm1"})
	next, err = next.Apply(record.Delta{From: 5, To: 6, Records: []*record.Record{vm}, Retired: []record.Key{departure.Key()}})
	assert.NilError(t, err)
	assert.Equal(t, len(next.Candidates(own)), 0)
	assert.Assert(t, next.TargetLeaving("unheard-of"))
}

func TestSetNeverReverts(t *testing.T) {
	set := record.NewSet(5, []*record.Record{mustParse(t, targetV1)})
	same, err := set.Apply(record.Delta{To: 3, Full: true})
	assert.NilError(t, err)
	assert.Equal(t, same, set)
	_, err = set.Apply(record.Delta{From: 7, To: 9})
	var gap *record.GapError
	assert.Assert(t, errors.As(err, &gap) && gap.Have == 5)
}

func FuzzReadFile(f *testing.F) {
	f.Add([]byte(targetV1))
	f.Add([]byte("[" + targetV2 + "]"))
	f.Add([]byte(`{"Kind":"Departure","SchemaVersion":1,"Name":"vm/x","VM":"x","version":3}`))
	f.Add([]byte(`[{"Kind":"Customer"`))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := record.ReadFile("f", strings.NewReader(string(data)))
		if err != nil {
			return
		}
		set := record.NewSet(1, records)
		_ = set.Check()
		for _, r := range records {
			again, err := record.ParseCommitted(r.JSON())
			assert.NilError(t, err)
			assert.Equal(t, string(again.JSON()), string(r.JSON()))
			typed, err := json.Marshal(r.Value())
			assert.NilError(t, err)
			var header record.Header
			assert.NilError(t, json.Unmarshal(typed, &header))
			assert.Equal(t, header.Version, r.Version())
		}
	})
}

func TestServiceRunsAtMostOnce(t *testing.T) {
	s := &record.Service{NotRepeatable: []string{"POST /deposits", "POST /orders/*"}}
	assert.Assert(t, s.RunsAtMostOnce("POST", "/deposits"))
	assert.Assert(t, s.RunsAtMostOnce("POST", "/orders/7/ship"))
	assert.Assert(t, !s.RunsAtMostOnce("GET", "/deposits"))
	assert.Assert(t, !s.RunsAtMostOnce("POST", "/deposits/7"))
}
