//! Replicas: what all of them do, whatever the case.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::http::{Connection, Message, response};
use crate::store::Store;

/// Runs a request and answers it; returns `false` if the connection is to be closed.
pub type Work = Arc<dyn Fn(&Replica, &Message, &mut Connection) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
}

impl Replica {
    /// Listens, registers in the store, and serves until the process ends.
    pub fn start(self, store: &Store, work: &Work) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"vk-a\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1790000000000}}",
            self.service, self.address, self.slots
        );
        store.write(&format!("servers/{}", self.id), &entry);
        let work = Arc::clone(work);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, work) = (self.clone(), Arc::clone(&work));
                thread::spawn(move || replica.serve(stream, &work));
            }
        });
        Ok(())
    }

    fn serve(&self, stream: TcpStream, work: &Work) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read_message() {
            if !request.is_complete {
                return;
            }
            let attempt = request.header("x-ibisdale-attempt-id");
            let target = request.header("x-ibisdale-target-instance");
            let is_kept = if request.target() == "/health" {
                let headers = format!("X-Ibisdale-Instance-Id: {}\r\n", self.id);
                connection.send(&response(200, &headers, "")).is_ok()
            } else if !target.is_empty() && target != self.id {
                let headers = format!(
                    "X-Ibisdale-Attempt-Id: {attempt}\r\nX-Ibisdale-Not-Executed: 1\r\n\
                     X-Ibisdale-Instance-Id: {}\r\n",
                    self.id
                );
                connection.send(&response(421, &headers, "")).is_ok()
            } else {
                work(self, &request, &mut connection)
            };
            if !is_kept {
                return;
            }
        }
    }

    /// Returns the headers of an answer to a request that was run.
    pub fn answer_headers(&self, request: &Message) -> String {
        let attempt = request.header("x-ibisdale-attempt-id");
        format!(
            "X-Ibisdale-Attempt-Id: {attempt}\r\nX-Ibisdale-Response-Seal: {}.{attempt}\r\n",
            self.id
        )
    }
}
