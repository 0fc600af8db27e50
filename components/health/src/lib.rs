//! Health plug-ins: `outcomes` ejects endpoints that fail in a row, `none` ejects nobody.

mod no_ejection;
mod outlier_detection;

pub use no_ejection::NoEjection;
pub use outlier_detection::OutlierDetection;
