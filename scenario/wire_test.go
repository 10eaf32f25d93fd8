package scenario

// chatRequest is the body of a chat request.
type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream,omitempty"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatAnswer is a complete answer, one event of a streamed answer, or an error.
type chatAnswer struct {
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage"`
	Error   *chatError   `json:"error"`
}

type chatChoice struct {
	Message      chatMessage `json:"message"`
	Delta        chatMessage `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type chatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type chatError struct {
	Message string  `json:"message"`
	Code    string  `json:"code"`
	Outcome outcome `json:"outcome"`
}
