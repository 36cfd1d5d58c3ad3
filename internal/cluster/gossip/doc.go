// Package gossip exchanges usage counts and quota loans between the instances of a
// cluster. Membership is maintained by memberlist; messages are encoded in protobuf.
//
// One goroutine of each Node owns the exchange. The callbacks of memberlist only copy
// their input into the bounded inbox of that goroutine. A message that the inbox has no
// room for is dropped and counted; the exchange recovers from lost messages by itself.
package gossip
