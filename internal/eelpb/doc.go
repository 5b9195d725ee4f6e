// Package eelpb holds the messages and services that the project's own
// processes speak between each other: protobuf over Twirp.
//
// # Usage
//
//	c := eelpb.NewStateProtobufClient("http://127.0.0.1:7100", http.DefaultClient)
//	r, err := c.Pull(ctx, &eelpb.PullRequest{Version: 7})
//
// The generated files are committed. After a change to eel.proto run
// go generate with protoc, protoc-gen-go and protoc-gen-twirp on the path.
package eelpb

//go:generate protoc -I . --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. eel.proto
