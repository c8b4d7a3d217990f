//! A model engine that answers chat calls with text made from the prompt.

mod answer;
mod message;
mod options;
mod server;
mod state;
mod stream;

pub use answer::compose_answer;
pub use message::PromptMessage;
pub use options::{EngineCounters, EngineFault, EngineOptions};
pub use server::EngineServer;
