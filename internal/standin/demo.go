package standin

import (
	"time"

	"skylarkturn/internal/settings"
)

const demoConnections = 2000 // per service, as given by the requirements

// Demo returns an experiment with the services of both tenants at their present
// numbers of hosts and slots, and the number of sessions multiplied by scale.
func Demo(scale float64) *Experiment {
	sessions := max(1, int(demoConnections*scale))
	ms := func(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Millisecond) }
	service := func(tenant, name string, number uint16, hosts, slots int) SiteService {
		return SiteService{Tenant: tenant, Name: name, Number: number, Hosts: hosts, Slots: slots, Sessions: sessions, RequestTime: ms(5), RequestInterval: ms(1000)}
	}
	bookdesk := service("lensbridge", "bookdesk", 17, 7, 4)
	bookdesk.Feed, bookdesk.Path = true, "/holds"
	kitdocs := service("lensbridge", "kitdocs", 18, 3, 4)
	kitdocs.Sheets = true
	orders := service("refill-collective", "orders", 21, 7, 3)
	orders.Feed, orders.Path = true, "/orders"
	catalogue := service("refill-collective", "catalogue", 22, 4, 3)
	catalogue.Sheets = true
	return &Experiment{
		Name:     "demo",
		Seed:     1,
		Duration: ms(18_000),
		Sites: []Site{
			{Name: "jakarta", Zones: []string{"jkt-1", "jkt-2", "jkt-3"}, Balancers: 3, Services: []SiteService{bookdesk, kitdocs}},
			{Name: "leinster", Zones: []string{"lei-1", "lei-2", "lei-3", "lei-4"}, Balancers: 4, Services: []SiteService{orders, catalogue}},
		},
		Events: []Event{
			{At: ms(3000), Action: ActionRollBalancers},
			{At: ms(7000), Action: ActionDrain, Target: "bookdesk-1"},
			{At: ms(7000), Action: ActionDrain, Target: "orders-1"},
			{At: ms(10_000), Action: ActionKillTarget, Target: "bookdesk-2"},
			{At: ms(10_000), Action: ActionKillTarget, Target: "orders-2"},
			{At: ms(12_000), Action: ActionPlatformDown},
			{At: ms(13_000), Action: ActionRollBalancers},
			{At: ms(16_000), Action: ActionPlatformUp},
		},
	}
}
