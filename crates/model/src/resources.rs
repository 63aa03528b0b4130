//! What a host offers and a task asks for, in several dimensions.

use serde::{Deserialize, Serialize};

/// An amount of processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether `other` fits into this amount in every dimension.
    pub fn fits(self, other: Resources) -> bool {
        self.millicores >= other.millicores
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    /// The sum in every dimension.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference in every dimension, zero where `other` is larger.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// How often `size` fits into this amount; as often as one likes where it needs nothing.
    pub fn times(self, size: Resources) -> u64 {
        let part = |has: u32, needs: u32| has.checked_div(needs).map_or(u64::MAX, u64::from);
        part(self.millicores, size.millicores)
            .min(part(self.memory_mib, size.memory_mib))
            .min(part(self.accelerators, size.accelerators))
    }

    /// The smaller amount in every dimension.
    pub fn min_of(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.min(other.millicores),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}
