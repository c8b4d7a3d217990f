//! A model engine with continuous batching and a limited prefix cache, which
//! answers chat calls with text made from the prompt.

mod answer;
mod batch;
mod cache;
mod chat;
mod events;
mod message;
mod options;
mod orders;
mod reports;
mod server;
mod sessions;
mod state;
mod stream;

pub use answer::compose_answer;
pub use message::PromptMessage;
pub use options::{EngineCounters, EngineFault, EngineOptions, EngineRole};
pub use server::EngineServer;
