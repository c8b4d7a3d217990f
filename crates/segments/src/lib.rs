//! Append-only segment files of checksummed frames.
//!
//! A store keeps its records as frames in numbered segment files of one folder. A frame
//! has fields of a fixed length, which the store defines, and a payload. All functions
//! block on disk I/O.

mod disk;
mod error;
mod file;
mod frame;

pub use disk::{DiskOperation, FaultHook, StoreDisk};
pub use error::{DamageKind, StoreDamage, StoreError};
pub use file::{FrameLocation, SegmentFile, SegmentFrame, list_segments, segment_path, to_u64};
pub use frame::{MAX_PAYLOAD_BYTES, encode_frame, frame_overhead};
