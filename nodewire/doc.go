// Package nodewire contains the gRPC messages and services of acaciaproxy nodes, generated from
// node.proto and fleet.proto.
package nodewire

//go:generate protoc --go_out=.. --go_opt=paths=source_relative --go-grpc_out=.. --go-grpc_opt=paths=source_relative -I .. nodewire/node.proto nodewire/fleet.proto
