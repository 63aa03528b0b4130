//! The bytes of bodies that all connections of a server hold together.

use std::{cell::Cell, rc::Rc};

/// Bodies up to this length are not counted. Callers with ordinary requests are not refused because of others with large
/// ones, and the bound on connections bounds them.
const SMALL_BODY_BYTES: usize = 8 * 1024;

/// Counts the bytes of bodies that a server holds.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    most: usize,
    held: Cell<usize>,
}

/// Bytes of a body, counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    all: Rc<HeldBytes>,
    bytes: usize,
}

impl HeldBytes {
    /// Allows `most` bytes at once.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self { most, held: Cell::default() })
    }

    /// Counts the bytes of a body before it is read; `None` if the server holds too many.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        let bytes = if bytes <= SMALL_BODY_BYTES { 0 } else { bytes.min(self.most) };
        let held = self.held.get().checked_add(bytes).filter(|it| *it <= self.most)?;
        self.held.set(held);
        Some(Reservation { all: self.clone(), bytes })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.all.held.set(self.all.held.get() - self.bytes);
    }
}
