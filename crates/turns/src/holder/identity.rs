//! Identity of a holder's disk.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use rand::Rng;

/// File with the generation, in the data folder.
const GENERATION_FILE: &str = "generation";
/// Name under which the file is written before it is renamed.
const TEMPORARY_FILE: &str = "generation.new";

/// Generation of a disk, and whether it was drawn just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderIdentity {
    /// Random number that distinguishes the disk from an earlier one of the same VM.
    pub generation: u64,
    /// Whether the disk was empty.
    pub is_new: bool,
}

/// Reads the generation of a data folder; draws and syncs one if there is none.
///
/// # Errors
///
/// Returns an error if the folder can't be read or written.
pub fn read_identity(folder: &Path) -> io::Result<HolderIdentity> {
    fs::create_dir_all(folder)?;
    let path = folder.join(GENERATION_FILE);
    let stored = match fs::read_to_string(&path) {
        Ok(text) => u64::from_str_radix(text.trim(), 16).ok(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => return Err(error),
    };
    if let Some(generation) = stored {
        return Ok(HolderIdentity {
            generation,
            is_new: false,
        });
    }
    let generation: u64 = rand::rng().random();
    let temporary = folder.join(TEMPORARY_FILE);
    let mut file = File::create(&temporary)?;
    file.write_all(format!("{generation:x}\n").as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary, &path)?;
    File::open(folder)?.sync_all()?;
    Ok(HolderIdentity {
        generation,
        is_new: true,
    })
}
