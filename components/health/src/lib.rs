//! Health plug-ins: `outcomes` ejects endpoints whose requests fail, `none` never ejects one.

mod no_ejection;
mod outlier_detection;

pub use no_ejection::NoEjection;
pub use outlier_detection::OutlierDetection;
