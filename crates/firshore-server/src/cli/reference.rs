//! `firshore reference`.

use super::Failure;
use crate::reference;
use argh::FromArgs;
use std::path::PathBuf;

/// Print the reference tables that the code owns.
#[derive(FromArgs)]
#[argh(subcommand, name = "reference")]
pub(crate) struct Reference {
    /// page whose generated sections to refresh, in place of printing
    #[argh(option)]
    write: Option<PathBuf>,
}

impl Reference {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let Some(path) = self.write else {
            for section in reference::sections() {
                println!("## {}\n\n{}", section.name, section.text);
            }
            return Ok(());
        };
        let failed = |error: &dyn std::fmt::Display| {
            Failure::Invalid(format!(
                "{} cannot be refreshed: {error}. Check the path.",
                path.display()
            ))
        };
        let page = std::fs::read_to_string(&path).map_err(|error| failed(&error))?;
        let page =
            reference::refresh(&page).map_err(|error| Failure::Invalid(error.to_string()))?;
        std::fs::write(&path, page).map_err(|error| failed(&error))?;
        println!("Refreshed {}.", path.display());
        Ok(())
    }
}
