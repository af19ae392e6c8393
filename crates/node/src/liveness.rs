//! Whether a leader is alive, as the probes of it show.

/// Whether a leader is alive, and whether it reaches the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, displaydoc::Display)]
pub enum Liveness {
    /// not known
    #[default]
    Unknown,
    /// it lives and the store answers it
    Healthy,
    /// it lives and the store does not answer it
    Isolated,
    /// it does not answer, or schedules no more
    Gone,
}
