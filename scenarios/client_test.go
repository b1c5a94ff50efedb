package scenarios

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	openai "github.com/sashabaranov/go-openai"

	standin "aspenyard.example/standin/engine"
)

// client ENTRY KIND calls an entry through a common OpenAI client library: the list of models, a
// completion, a streamed chat, and a request that is answered with an error.
func client(ts *testscript.TestScript, _ bool, args []string) {
	h := harnessOf(ts)
	config := openai.DefaultConfig(accountKey)
	config.BaseURL = "http://" + h.mustProcess(ts, args[0]).addrs["callers"] + "/v1"
	c := openai.NewClientWithConfig(config)
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	models, err := c.ListModels(ctx)
	ts.Check(err)
	if len(models.Models) == 0 {
		ts.Fatalf("client: the list of models is empty")
	}
	completion, err := c.CreateCompletion(ctx, openai.CompletionRequest{Model: args[1], Prompt: "tie a bowline", MaxTokens: 8})
	ts.Check(err)
	if want := standin.Completion("tie a bowline", 8); completion.Choices[0].Text != want {
		ts.Fatalf("client: completion is %q, want %q", completion.Choices[0].Text, want)
	}
	streamChat(ctx, ts, c, args[1])
	_, err = c.CreateCompletion(ctx, openai.CompletionRequest{Model: "none", Prompt: "x", MaxTokens: 1})
	var failure *openai.APIError
	if !errors.As(err, &failure) || failure.HTTPStatusCode != 404 || failure.Type != "unknown_model" {
		ts.Fatalf("client: unknown model gave error %v, want status 404 and type unknown_model", err)
	}
}

// streamChat makes a streamed chat request and compares the text.
func streamChat(ctx context.Context, ts *testscript.TestScript, c *openai.Client, model string) {
	stream, err := c.CreateChatCompletionStream(ctx, openai.ChatCompletionRequest{
		Model: model, MaxCompletionTokens: 8, Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "tie a bowline"}},
	})
	ts.Check(err)
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	started := time.Now()
	for {
		event, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		ts.Check(err)
		text.WriteString(event.Choices[0].Delta.Content)
	}
	if want := standin.Completion("user: tie a bowline\n", 8); text.String() != want {
		ts.Fatalf("client: streamed chat is %q, want %q, after %s", text.String(), want, time.Since(started))
	}
}
