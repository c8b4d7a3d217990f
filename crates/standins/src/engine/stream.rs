//! The answer to a chat call, streamed or whole.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use ibisdale_net::{BodySender, BoxBody, NetError, body_channel};

use super::answer::{compose_tokens, split_tokens};
use super::message::{ChatBody, ChoiceBody, ChunkBody, TextBody, UsageBody};
use super::options::EngineFault;
use super::server::SharedState;
use crate::host::{aborted_answer, error_answer, json_answer};

/// Time for the tokens before a cut to leave.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// One accepted chat call.
pub(crate) struct ChatRun {
    shared: SharedState,
    body: ChatBody,
    tokens: Vec<&'static str>,
    usage: UsageBody,
    is_finished: bool,
}

impl ChatRun {
    /// Takes the call in and computes its usage.
    pub(crate) fn start(shared: SharedState, session: &str, body: ChatBody) -> Self {
        let tokens = compose_tokens(&body.model, &body.messages, body.get_max_tokens());
        let prompt = split_tokens(&body.messages).len() as u64;
        let usage = {
            let mut state = shared.lock();
            let cached = state.take_prompt(session, prompt);
            state.counters.chats += 1;
            state.counters.running += 1;
            UsageBody::new(prompt, cached, tokens.len() as u64)
        };
        Self {
            shared,
            body,
            tokens,
            usage,
            is_finished: false,
        }
    }

    /// Answers the call, by a stream if the body asks for one.
    pub(crate) async fn answer(self) -> Response<BoxBody> {
        let fault = self.shared.lock().fault;
        if fault == EngineFault::CloseBeforeAnswer {
            return aborted_answer();
        }
        if self.body.stream {
            return self.answer_stream(fault);
        }
        self.answer_whole().await
    }

    async fn answer_whole(mut self) -> Response<BoxBody> {
        for _ in 0..self.tokens.len() {
            self.generate_token().await;
        }
        let text = self.tokens.join(" ");
        let choice = ChoiceBody {
            index: 0,
            delta: None,
            message: Some(TextBody {
                role: Some("assistant"),
                content: Some(&text),
            }),
            finish_reason: Some(self.get_finish_reason()),
        };
        let answer = ChunkBody {
            id: "chatcmpl-1",
            object: "chat.completion",
            created: 0,
            model: &self.body.model,
            choices: vec![choice],
            usage: Some(self.usage),
        };
        let response = json_answer(StatusCode::OK, &answer);
        self.is_finished = true;
        response
    }

    fn answer_stream(mut self, fault: EngineFault) -> Response<BoxBody> {
        let (sender, body) = body_channel();
        let Some(executor) = self.shared.get_executor() else {
            return error_answer(StatusCode::SERVICE_UNAVAILABLE, "closing", "closing");
        };
        let task = async move {
            let produce = async {
                let _ = self.produce(&sender, fault).await;
            };
            futures_lite::FutureExt::or(produce, sender.closed()).await;
            if self.is_finished {
                let _ = sender.close().await;
            }
        };
        executor.spawn(task).detach();
        let mut response = Response::new(body);
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    async fn produce(&mut self, sender: &BodySender, fault: EngineFault) -> Result<(), NetError> {
        for index in 0..self.tokens.len() {
            let count = u32::try_from(index).unwrap_or(u32::MAX);
            match fault {
                EngineFault::CloseAfter(limit) if limit == count => {
                    smol::Timer::after(FLUSH_DELAY).await;
                    return Ok(());
                }
                EngineFault::GarbageAfter(limit) if limit == count => {
                    sender
                        .send(Bytes::from_static(b"data: {\"choices\": <garbage>\n\n"))
                        .await?;
                }
                EngineFault::StallAfter(limit) if limit == count => {
                    return std::future::pending().await;
                }
                EngineFault::EndWithoutDone(limit) if limit == count => {
                    self.is_finished = true;
                    return Ok(());
                }
                _ => {}
            }
            self.generate_token().await;
            sender.send(self.format_token(index)).await?;
        }
        sender.send(self.format_end()).await?;
        sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await?;
        self.is_finished = true;
        Ok(())
    }

    async fn generate_token(&self) {
        let delay = self.shared.lock().options.get_token_delay();
        if !delay.is_zero() {
            smol::Timer::after(delay).await;
        }
        self.shared.lock().counters.completion_tokens += 1;
    }

    fn get_finish_reason(&self) -> &'static str {
        let limit = self.body.get_max_tokens() as usize;
        if self.tokens.len() >= limit {
            return "length";
        }
        "stop"
    }

    fn format_token(&self, index: usize) -> Bytes {
        let text = if index == 0 {
            self.tokens[index].to_owned()
        } else {
            format!(" {}", self.tokens[index])
        };
        let delta = TextBody {
            role: (index == 0).then_some("assistant"),
            content: Some(&text),
        };
        self.format_chunk(Some((delta, None)), None)
    }

    fn format_end(&self) -> Bytes {
        let choice = (TextBody::default(), Some(self.get_finish_reason()));
        let end = self.format_chunk(Some(choice), None);
        let usage = self.format_chunk(None, Some(self.usage));
        [end, usage].concat().into()
    }

    fn format_chunk(
        &self,
        choice: Option<(TextBody<'_>, Option<&'static str>)>,
        usage: Option<UsageBody>,
    ) -> Bytes {
        let choice = choice.map(|(delta, finish_reason)| ChoiceBody {
            index: 0,
            delta: Some(delta),
            message: None,
            finish_reason,
        });
        let chunk = ChunkBody {
            id: "chatcmpl-1",
            object: "chat.completion.chunk",
            created: 0,
            model: &self.body.model,
            choices: choice.into_iter().collect(),
            usage,
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        format!("data: {json}\n\n").into()
    }
}

impl Drop for ChatRun {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.counters.running -= 1;
        if self.is_finished {
            state.counters.finished += 1;
        } else {
            state.counters.cancelled += 1;
        }
    }
}
