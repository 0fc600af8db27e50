//! Settings of a node: reads and checks a settings file, and prints settings in its format.
//!
//! All problems of a file are reported together, each with file, line, key and a hint on how to fix
//! it. Names and params of plug-ins are checked where the plug-ins are built.

mod check;
mod load;
mod raw;
mod settings;

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
