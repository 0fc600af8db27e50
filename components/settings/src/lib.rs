//! Settings of a node: loading, checking, printing.

mod load;
mod settings;

pub use load::Error;
pub use load::load;
pub use load::parse;
pub use settings::Listen;
pub use settings::Plugged;
pub use settings::Settings;
