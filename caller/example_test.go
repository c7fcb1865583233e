package caller_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"skylarkturn/caller"
)

func ExampleSession() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := caller.Dial(ctx, "127.0.0.1:9", caller.WithTLS(&tls.Config{ServerName: "bookdesk.example"}))
	if err != nil {
		fmt.Println("no target responds")
		return
	}
	defer s.Close()
	a, err := s.Do(ctx, caller.Request{Method: "POST", Path: "/holds", Body: []byte(`{"lens": 35}`)})
	var e *caller.Error
	switch {
	case err == nil:
		fmt.Println("placed:", string(a.Body))
	case errors.As(err, &e) && e.Kind == caller.NotRun:
		fmt.Println("not placed; try again after", e.RetryAfter)
	default:
		fmt.Println("check whether the hold exists before placing it again")
	}
	// Output: no target responds
}
