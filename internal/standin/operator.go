package standin

import (
	"skylarkturn/internal/admin"
	"skylarkturn/internal/service"
)

// OperatorClient returns a client of the administration API that authenticates with
// the named certificate.
func (a *Authority) OperatorClient(name string) (*admin.Client, error) {
	cfg, err := admin.LoadTLS(a.path("ca.pem"), a.path(name+".pem"), a.path(name+".key"))
	if err != nil {
		return nil, err
	}
	return admin.NewClient(cfg), nil
}

// Declaration returns the draft configuration that declares a service.
func (d *Deployment) Declaration(s ServiceOptions) service.Service {
	return service.Service{
		Name:      s.Name,
		Tenant:    s.Tenant,
		Number:    s.Number,
		Addresses: []string{d.Fabric.Address(s.Name)},
		Classes:   requestClasses,
	}
}

var requestClasses = []service.Class{
	{Name: "feed", PathPrefix: "/feed", Idempotent: true, Stream: true, Priority: 1},
	{Name: "sheets", PathPrefix: "/sheets/", Idempotent: true},
	{Name: "holds", PathPrefix: "/holds", Priority: 2},
	{Name: "orders", PathPrefix: "/orders", Priority: 2},
}
