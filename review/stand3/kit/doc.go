// Package kit holds what the review cases 11 to 15 share: a stand-in for the platform's
// store, stand-ins for workers, the host processes under test, clients, and the record of a
// run. The stand-ins do what the users' pages say of a sound store, worker and client; the
// programs of the cases add the one disruption that each is about.
package kit
