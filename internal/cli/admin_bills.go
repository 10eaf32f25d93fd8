package cli

import (
	"fmt"
	"net/url"
	"sort"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/cli/setting"
)

type adminBillsCommand struct {
	adminOptions
	Organisation string        `long:"organisation" env:"HICKORYBANK_ORGANISATION" accept:"name" description:"only this organisation's"`
	From         string        `long:"from" env:"HICKORYBANK_FROM" accept:"text" description:"date or time in RFC 3339 (a day before --to, if not given)"`
	To           string        `long:"to" env:"HICKORYBANK_TO" accept:"text" description:"date or time in RFC 3339, excluded (now, if not given)"`
	Limit        setting.Count `long:"limit" env:"HICKORYBANK_LIMIT" accept:"1..1000000" default:"10000" description:"how many at most"`
}

// billReport is the JSON output of admin bills.
type billReport struct {
	Bills []admin.Bill `json:"bills"`
	Sums  []billSum    `json:"sums"`
	// More is set if there are more bills than the limit.
	More bool `json:"more,omitempty"`
}

// billSum is the number and total cost of one organisation's bills.
type billSum struct {
	Organisation string `json:"organisation"`
	Bills        int    `json:"bills"`
	// Cost is in micro-units of currency.
	Cost int64 `json:"cost"`
}

// Execute lists bills in the order of time, with the sums of each organisation.
func (c *adminBillsCommand) Execute([]string) error {
	report, err := c.readPages()
	if err != nil {
		return err
	}
	sort.SliceStable(report.Bills, func(i, j int) bool { return report.Bills[i].At.Before(report.Bills[j].At) })
	report.Sums = sumByOrganisation(report.Bills)
	if c.JSON {
		return writeJSON(c.env.out, report)
	}
	return c.print(report)
}

// readPages reads pages of bills until the last one or the limit.
func (c *adminBillsCommand) readPages() (billReport, error) {
	report := billReport{Bills: []admin.Bill{}}
	s, err := c.open()
	if err != nil {
		return report, err
	}
	defer s.close()
	query := url.Values{}
	for name, value := range map[string]string{"organisation": c.Organisation, "from": c.From, "to": c.To} {
		if value != "" {
			query.Set(name, value)
		}
	}
	for {
		var page admin.BillPage
		if _, err := s.client.Get(s.ctx, "bills", query, &page); err != nil {
			return report, err
		}
		report.Bills = append(report.Bills, page.Bills...)
		if limit := c.Limit.Get(); len(report.Bills) > limit || (len(report.Bills) == limit && page.Next != "") {
			report.Bills = report.Bills[:limit]
			report.More = true
			return report, nil
		}
		if page.Next == "" {
			return report, nil
		}
		query.Set("cursor", page.Next)
	}
}

func sumByOrganisation(bills []admin.Bill) []billSum {
	byName := map[string]*billSum{}
	for _, b := range bills {
		s, ok := byName[b.Organisation]
		if !ok {
			s = &billSum{Organisation: b.Organisation}
			byName[b.Organisation] = s
		}
		s.Bills++
		s.Cost += b.Cost
	}
	out := []billSum{}
	for _, s := range byName {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Organisation < out[j].Organisation })
	return out
}

func (c *adminBillsCommand) print(r billReport) error {
	t := newTable("AT", "ORGANISATION", "CLASS", "SERVED BY", "COST", "INPUT", "OUTPUT", "KEY")
	for _, b := range r.Bills {
		t.add(b.At, b.Organisation, b.Class, b.Version+b.Service, b.Cost, b.InputTokens, b.OutputTokens, b.Key)
	}
	if err := t.write(c.env.out); err != nil {
		return err
	}
	for _, s := range r.Sums {
		fmt.Fprintf(c.env.out, "%s: %d bills, %d micro-units\n", s.Organisation, s.Bills, s.Cost)
	}
	if r.More {
		fmt.Fprintln(c.env.out, "there are more; raise --limit or shorten the time")
	}
	return nil
}
