//! The answer to a chat call, streamed or whole.

use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderValue, Response, StatusCode, header};
use ibisdale_net::{BodySender, BoxBody, NetError, body_channel};
use smol::channel::Receiver;

use super::batch::SequenceItem;
use super::message::{ChatBody, ChoiceBody, ChunkBody, TextBody, UsageBody};
use super::options::EngineFault;
use super::state::SharedState;
use crate::host::{aborted_answer, error_answer, json_answer};

/// Time for the tokens before a cut to leave.
const FLUSH_DELAY: Duration = Duration::from_millis(20);
/// Time between comments while a call waits.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// One accepted chat call.
pub(crate) struct ChatRun {
    shared: SharedState,
    body: ChatBody,
    tokens: Vec<&'static str>,
    items: Receiver<SequenceItem>,
    prompt_tokens: u64,
    cached_tokens: u64,
    sent: u32,
    resumed_from: usize,
    is_finished: bool,
}

impl ChatRun {
    /// Counts a call whose tokens come as `items`.
    pub(crate) fn start(
        shared: SharedState,
        body: ChatBody,
        tokens: Vec<&'static str>,
        items: Receiver<SequenceItem>,
        prompt_tokens: u64,
    ) -> Self {
        {
            let mut state = shared.lock();
            state.counters.chats += 1;
            state.counters.running += 1;
        }
        Self {
            shared,
            body,
            tokens,
            items,
            prompt_tokens,
            cached_tokens: 0,
            sent: 0,
            resumed_from: 0,
            is_finished: false,
        }
    }

    /// Sets the token that the answer goes on from.
    pub(crate) fn resume_from(mut self, index: usize) -> Self {
        if index > 0 {
            self.resumed_from = index;
            self.shared.lock().counters.resumed += 1;
        }
        self
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
        loop {
            match self.items.recv().await {
                Ok(SequenceItem::Started { cached }) => self.cached_tokens = cached,
                Ok(SequenceItem::Token { .. }) => self.sent += 1,
                Ok(SequenceItem::Finished) => break,
                Err(_) => return aborted_answer(),
            }
        }
        self.is_finished = true;
        let text = self.tokens[self.resumed_from..].join(" ");
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
            usage: Some(self.get_usage()),
        };
        json_answer(StatusCode::OK, &answer)
    }

    fn answer_stream(mut self, fault: EngineFault) -> Response<BoxBody> {
        let (sender, body) = body_channel();
        let Some(executor) = self.shared.get_executor() else {
            return error_answer(StatusCode::SERVICE_UNAVAILABLE, "closing", "closing");
        };
        let resumed_from = HeaderValue::from(self.resumed_from);
        let task = async move {
            let produce = async {
                // An error means that the caller is gone.
                let _ = self.produce(&sender, fault).await;
            };
            produce.or(sender.closed()).await;
            if self.is_finished {
                let _ = sender.close().await;
            }
        };
        executor.spawn(task).detach();
        let mut response = Response::new(body);
        let kind = HeaderValue::from_static("text/event-stream");
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, kind);
        if resumed_from != "0" {
            headers.insert("resumed-from", resumed_from);
        }
        response
    }

    async fn produce(&mut self, sender: &BodySender, fault: EngineFault) -> Result<(), NetError> {
        loop {
            if self.meet_fault(sender, fault).await? {
                return Ok(());
            }
            match self.next_item().await {
                Some(SequenceItem::Started { cached }) => self.cached_tokens = cached,
                Some(SequenceItem::Token { index }) => {
                    sender.send(self.format_token(index)).await?;
                    self.sent += 1;
                }
                Some(SequenceItem::Finished) => break,
                // The engine gave the call up, for a release order.
                None if self.items.is_closed() => return Ok(()),
                None => sender.send(Bytes::from_static(b": waiting\n\n")).await?,
            }
        }
        sender.send(self.format_end()).await?;
        sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await?;
        self.is_finished = true;
        Ok(())
    }

    /// Returns the next item; none when there was none for a while or the
    /// engine gave the call up.
    async fn next_item(&self) -> Option<SequenceItem> {
        let receive = async { self.items.recv().await.ok() };
        let expire = async {
            smol::Timer::after(COMMENT_INTERVAL).await;
            None
        };
        receive.or(expire).await
    }

    /// Fails as the fault says once so many tokens are sent; tells whether the
    /// stream is over.
    async fn meet_fault(
        &mut self,
        sender: &BodySender,
        fault: EngineFault,
    ) -> Result<bool, NetError> {
        match fault {
            EngineFault::CloseAfter(limit) if limit == self.sent => {
                smol::Timer::after(FLUSH_DELAY).await;
                Ok(true)
            }
            EngineFault::GarbageAfter(limit) if limit == self.sent => {
                let garbage = Bytes::from_static(b"data: {\"choices\": <garbage>\n\n");
                sender.send(garbage).await?;
                Ok(false)
            }
            EngineFault::StallAfter(limit) if limit == self.sent => std::future::pending().await,
            EngineFault::EndWithoutDone(limit) if limit == self.sent => {
                self.is_finished = true;
                Ok(true)
            }
            _ => Ok(false),
        }
    }

    fn get_finish_reason(&self) -> &'static str {
        if self.tokens.len() >= self.body.get_max_tokens() as usize {
            return "length";
        }
        "stop"
    }

    /// Returns the usage of this call; tokens sent before a resumption are not
    /// counted again.
    fn get_usage(&self) -> UsageBody {
        UsageBody::new(self.prompt_tokens, self.cached_tokens, u64::from(self.sent))
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
        let usage = self.format_chunk(None, Some(self.get_usage()));
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
