//! Requests and answers in the OpenAI form.

use cometmoor_protocol::engine::CompletionChunk;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// Tokens that are generated where the caller names no bound.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// Body of a completion request, of either form.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// Model, `model@version` or adapter.
    pub model: String,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Prompt of a text completion.
    #[serde(default)]
    pub prompt: Option<String>,
    /// Upper bound of generated tokens.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Everything else goes to the engine.
    #[serde(flatten)]
    pub parameters: Map<String, Value>,
}

impl CompletionBody {
    /// Upper bound of generated tokens.
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// The text that the engine continues.
    pub fn prompt_text(&self) -> Option<String> {
        if let Some(prompt) = &self.prompt {
            return Some(prompt.clone());
        }
        if self.messages.is_empty() {
            return None;
        }
        let lines = self.messages.iter().map(|message| {
            let ChatMessage { role, content } = message;
            format!("{role}: {content}\n")
        });
        Some(lines.collect::<String>() + "assistant:")
    }
}

/// Which of the two forms a caller uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// A whole answer, as it is remembered for a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WholeCompletion {
    /// Generated text.
    pub text: String,
    /// Why generation ended.
    pub finish_reason: String,
    /// Number of generated tokens.
    pub tokens: u64,
}

impl WholeCompletion {
    /// Adds a part.
    pub fn add(&mut self, chunk: &CompletionChunk) {
        self.text.push_str(&chunk.text);
        self.tokens += 1;
        if let Some(reason) = &chunk.finish_reason {
            self.finish_reason.clone_from(reason);
        }
    }

    /// The answer as a single part.
    pub fn into_chunk(self) -> CompletionChunk {
        CompletionChunk { index: 0, text: self.text, finish_reason: Some(self.finish_reason) }
    }
}

/// Writes answers of one request.
#[derive(Clone, Debug)]
pub struct AnswerWriter {
    /// Form of the request.
    pub form: Form,
    /// Identifier of the request.
    pub request_id: String,
    /// Model as the caller named it.
    pub model: String,
}

impl AnswerWriter {
    /// Body of an answer that is not streamed.
    pub fn whole(&self, completion: &WholeCompletion) -> Value {
        let WholeCompletion { text, finish_reason, tokens } = completion;
        let (object, content) = match self.form {
            Form::Chat => {
                let message = json!({"role": "assistant", "content": text});
                ("chat.completion", json!({"message": message}))
            }
            Form::Text => ("text_completion", json!({"text": text})),
        };
        let mut choice = json!({"index": 0, "finish_reason": finish_reason});
        merge(&mut choice, content);
        json!({
            "id": self.request_id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
        })
    }

    /// Server-sent event of one part.
    pub fn event(&self, chunk: &CompletionChunk) -> String {
        let (object, content) = match self.form {
            Form::Chat => ("chat.completion.chunk", json!({"delta": {"content": chunk.text}})),
            Form::Text => ("text_completion", json!({"text": chunk.text})),
        };
        let mut choice = json!({"index": 0, "finish_reason": chunk.finish_reason});
        merge(&mut choice, content);
        let data = json!({
            "id": self.request_id,
            "object": object,
            "model": self.model,
            "choices": [choice],
        });
        format!("id: {}\ndata: {data}\n\n", chunk.index)
    }

    /// Server-sent event that ends a whole answer.
    pub fn done(&self) -> &'static str {
        "data: [DONE]\n\n"
    }
}

fn merge(into: &mut Value, from: Value) {
    if let (Some(into), Value::Object(from)) = (into.as_object_mut(), from) {
        into.extend(from);
    }
}
