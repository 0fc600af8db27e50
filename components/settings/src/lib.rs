//! Settings of a node: loading, checking, printing.
//!
//! A file is checked as a whole; each problem is reported with file, line, key and what to write
//! instead. Plug-in names and params are checked where the plug-ins are built.

mod check;
mod load;
mod settings;
mod written;

pub use load::Error;
pub use load::Problem;
pub use load::load;
pub use load::parse;
pub use load::to_yaml;
pub use settings::ListenAddresses;
pub use settings::Param;
pub use settings::PluginConfig;
pub use settings::Settings;
pub use settings::UpstreamEnd;
