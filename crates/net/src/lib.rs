//! HTTP/1.1 and HTTP/2 over smol: servers, client connections, body limits and framing checks.
