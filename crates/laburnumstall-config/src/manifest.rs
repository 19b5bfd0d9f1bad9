//! The list of sections that make one configuration.
//!
//! A daemon that learns of a new revision reads its manifest, pulls the sections that it
//! does not have yet, and puts them together; nothing missing or damaged passes.

use compact_str::CompactString;
use laburnumstall_core::domain;
use laburnumstall_core::ids::SectionName;
use laburnumstall_core::world::System;
use snafu::ensure;

use crate::canonical::digest;
use crate::section::{AssembleError, DifferentSnafu, MissingSnafu, Section, assemble, sections};

domain! {
    /// A section by its name and digest.
    pub struct SectionId {
        /// Name of the section.
        pub name: SectionName,
        /// BLAKE3 digest of its body, in hexadecimal.
        pub digest: CompactString,
    }

    /// All sections of one configuration.
    pub struct Manifest {
        /// BLAKE3 digest of the canonical text, in hexadecimal.
        pub digest: CompactString,
        /// The sections, in the order of the canonical text.
        pub sections: Vec<SectionId>,
    }
}

impl Manifest {
    /// Lists the sections of a system.
    pub fn of(system: &System) -> Self {
        let ids = sections(system).into_iter().map(|section| SectionId {
            name: section.name,
            digest: section.digest,
        });
        Self {
            digest: digest(system),
            sections: ids.collect(),
        }
    }

    /// Returns the sections that are not among `held`, or are there with another body.
    pub fn missing<'m>(&'m self, held: &[Section]) -> Vec<&'m SectionId> {
        self.sections
            .iter()
            .filter(|id| find(held, id).is_none())
            .collect()
    }

    /// Puts the system together from `held`, which may hold other sections as well.
    ///
    /// # Errors
    ///
    /// Returns [`AssembleError`] if a section is missing or damaged, or if the whole is not
    /// the text that the manifest names.
    pub fn assemble(&self, held: &[Section]) -> Result<System, AssembleError> {
        let mut parts = Vec::new();
        for id in &self.sections {
            let part = find(held, id);
            ensure!(
                part.is_some(),
                MissingSnafu {
                    name: id.name.clone()
                }
            );
            parts.extend(part.cloned());
        }
        let system = assemble(&parts)?;
        ensure!(digest(&system) == self.digest, DifferentSnafu);
        Ok(system)
    }
}

fn find<'s>(held: &'s [Section], id: &SectionId) -> Option<&'s Section> {
    held.iter()
        .find(|section| section.name == id.name && section.digest == id.digest)
}
