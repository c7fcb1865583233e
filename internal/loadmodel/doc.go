// Package loadmodel simulates a site under load in virtual time: clients, balancers,
// agents and hosts. Balancers and agents decide with packages steering and flowtable;
// links, clients and hosts are simple models. A run takes a second or two and depends
// on its seed only, so that decisions about load can be compared and tested.
package loadmodel
