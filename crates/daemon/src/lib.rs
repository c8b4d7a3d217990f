//! The daemon as a library: control thread, traffic threads and the parts they connect.
