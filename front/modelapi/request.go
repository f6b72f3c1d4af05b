package modelapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"unicode/utf8"

	"lichenshelf/logic"
)

// Limits of the public interfaces.
const (
	maxInputs    = 2048 // texts of one embeddings request
	maxDocuments = 1000 // passages of one rerank request
)

// charsPerToken is the approximate length of a token.
const charsPerToken = 4

// requestError is a fault in a request; param names the field.
type requestError struct {
	param string
	text  string
}

func (e *requestError) Error() string { return e.text }

// parsedRequest is what routing needs from a request's body.
type parsedRequest struct {
	logic.Request
	stream bool
}

// estimateTokens estimates the number of tokens in a text of this many characters.
func estimateTokens(chars int) float64 { return float64(chars)/charsPerToken + 1 }

func decode(text []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	if err := d.Decode(to); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return &requestError{wrong.Field, fmt.Sprintf("%s has the wrong type: %s", wrong.Field, wrong.Value)}
		}
		return &requestError{"", "the body is not valid JSON"}
	}
	if d.More() {
		return &requestError{"", "the body holds more than one JSON value"}
	}
	return nil
}

func requireModel(model string) error {
	if model == "" {
		return &requestError{"model", "model is required"}
	}
	return nil
}

// defaultMaxTokens is the assumed limit on the answer when a chat request sets none.
const defaultMaxTokens = 1024

// chat parses a request to /v1/chat/completions. The hash of the messages up to and including the
// first one by the user or the assistant identifies the session; the hash of those before it
// identifies the shared prefix.
func chat(text []byte) (parsedRequest, error) {
	var q struct {
		Model     string `json:"model"`
		Stream    bool   `json:"stream"`
		MaxTokens *int   `json:"max_tokens"`
		MaxNew    *int   `json:"max_completion_tokens"`
		Messages  []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if err := decode(text, &q); err != nil {
		return parsedRequest{}, err
	}
	if err := requireModel(q.Model); err != nil {
		return parsedRequest{}, err
	}
	if len(q.Messages) == 0 {
		return parsedRequest{}, &requestError{"messages", "messages must hold at least one message"}
	}
	p := parsedRequest{stream: q.Stream}
	p.Class, p.MaxTokens = classChat, defaultMaxTokens
	for name, n := range map[string]*int{"max_tokens": q.MaxTokens, "max_completion_tokens": q.MaxNew} {
		if n != nil && *n < 1 {
			return parsedRequest{}, &requestError{name, name + " must be 1 or more"}
		}
		if n != nil {
			p.MaxTokens = float64(*n)
		}
	}
	opening, chars, opened := fnv.New64a(), 0, false
	for i, m := range q.Messages {
		switch m.Role {
		case "system", "developer", "user", "assistant", "tool", "function":
		default:
			return parsedRequest{}, &requestError{"messages", fmt.Sprintf("messages[%d] has no known role", i)}
		}
		n, err := contentLength(m.Content)
		if err != nil {
			return parsedRequest{}, &requestError{"messages", fmt.Sprintf("messages[%d]: %v", i, err)}
		}
		chars += n
		if opened {
			continue
		}
		if m.Role == "user" || m.Role == "assistant" {
			opened = true
		}
		_, _ = opening.Write(m.Content)
		if !opened {
			p.Prefix, p.PrefixTokens = logic.Key(opening.Sum64()), estimateTokens(chars)
		}
	}
	p.Session, p.PromptTokens = logic.Key(opening.Sum64()), estimateTokens(chars)
	return p, nil
}

// contentLength counts the characters of a message's content: a text, a list of parts, or nothing
// if the message only calls tools.
func contentLength(content json.RawMessage) (int, error) {
	if len(content) == 0 || string(content) == "null" {
		return 0, nil
	}
	var text string
	if json.Unmarshal(content, &text) == nil {
		return utf8.RuneCountInString(text), nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(content, &parts); err != nil {
		return 0, errors.New("content is neither a text nor a list of parts")
	}
	n := 0
	for _, p := range parts {
		if p.Type == "" {
			return 0, errors.New("a part of the content has no type")
		}
		n += utf8.RuneCountInString(p.Text)
	}
	return n, nil
}

// embeddings parses a request to /v1/embeddings. The input is a text, a list of texts, a list of
// token numbers, or a list of such lists.
func embeddings(text []byte) (parsedRequest, error) {
	var q struct {
		Model      string          `json:"model"`
		Input      json.RawMessage `json:"input"`
		Encoding   string          `json:"encoding_format"`
		Dimensions *int            `json:"dimensions"`
	}
	if err := decode(text, &q); err != nil {
		return parsedRequest{}, err
	}
	if err := requireModel(q.Model); err != nil {
		return parsedRequest{}, err
	}
	if q.Encoding != "" && q.Encoding != "float" && q.Encoding != "base64" {
		return parsedRequest{}, &requestError{"encoding_format", "encoding_format must be float or base64"}
	}
	if q.Dimensions != nil && *q.Dimensions < 1 {
		return parsedRequest{}, &requestError{"dimensions", "dimensions must be 1 or more"}
	}
	n, err := inputTokens(q.Input)
	if err != nil {
		return parsedRequest{}, err
	}
	p := parsedRequest{}
	p.Class, p.PromptTokens, p.MaxTokens = classEmbeddings, n, 1
	return p, nil
}

func inputTokens(input json.RawMessage) (float64, error) {
	bad := func(text string) error { return &requestError{"input", text} }
	var one string
	if len(input) > 0 && json.Unmarshal(input, &one) == nil && input[0] == '"' {
		if one == "" {
			return 0, bad("input must not be empty")
		}
		return estimateTokens(utf8.RuneCountInString(one)), nil
	}
	var items []json.RawMessage
	if json.Unmarshal(input, &items) != nil || len(items) == 0 {
		return 0, bad("input must be a text, or a list of texts or tokens that is not empty")
	}
	var ids []int
	if json.Unmarshal(input, &ids) == nil {
		return float64(len(ids)), nil
	}
	if len(items) > maxInputs {
		return 0, bad(fmt.Sprintf("input must hold %d items at most", maxInputs))
	}
	sum := 0.0
	for i, item := range items {
		var s string
		switch {
		case json.Unmarshal(item, &s) == nil && s != "":
			sum += estimateTokens(utf8.RuneCountInString(s))
		case json.Unmarshal(item, &ids) == nil && len(ids) > 0:
			sum += float64(len(ids))
		default:
			return 0, bad(fmt.Sprintf("input[%d] must be a text or a list of tokens that is not empty", i))
		}
	}
	return sum, nil
}

// rerank parses a request to /v1/rerank. The whole batch is one request. The model reads the query
// again with each passage, so its length counts once for each passage.
func rerank(text []byte) (parsedRequest, error) {
	var q struct {
		Model     string            `json:"model"`
		Query     string            `json:"query"`
		Documents []json.RawMessage `json:"documents"`
		TopN      *int              `json:"top_n"`
	}
	if err := decode(text, &q); err != nil {
		return parsedRequest{}, err
	}
	if err := requireModel(q.Model); err != nil {
		return parsedRequest{}, err
	}
	switch {
	case q.Query == "":
		return parsedRequest{}, &requestError{"query", "query is required"}
	case len(q.Documents) == 0 || len(q.Documents) > maxDocuments:
		return parsedRequest{}, &requestError{"documents", fmt.Sprintf("documents must hold 1 to %d passages", maxDocuments)}
	case q.TopN != nil && *q.TopN < 1:
		return parsedRequest{}, &requestError{"top_n", "top_n must be 1 or more"}
	}
	query, sum := estimateTokens(utf8.RuneCountInString(q.Query)), 0.0
	for i, d := range q.Documents {
		s, ok := passage(d)
		if !ok {
			return parsedRequest{}, &requestError{"documents", fmt.Sprintf("documents[%d] must be a text or an object with a text", i)}
		}
		sum += query + estimateTokens(utf8.RuneCountInString(s))
	}
	p := parsedRequest{}
	p.Class, p.PromptTokens, p.MaxTokens = classRerank, sum, 1
	return p, nil
}

func passage(d json.RawMessage) (string, bool) {
	var s string
	if json.Unmarshal(d, &s) == nil && len(d) > 0 && d[0] == '"' {
		return s, true
	}
	var object struct {
		Text *string `json:"text"`
	}
	if json.Unmarshal(d, &object) != nil || object.Text == nil {
		return "", false
	}
	return *object.Text, true
}
