//! Log output as JSON lines.

use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use env_logger::Builder;
use env_logger::Env;
use env_logger::Target;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;

use crate::writer::StdoutWriter;

/// Environment variable with the log filter, such as `info` or `front=debug`.
const FILTER_VARIABLE: &str = "MEDLAR_LOG";
/// Filter if the variable is not set. At `info`, tarpc would log each call.
const DEFAULT_FILTER: &str = "info,tarpc=warn";

/// Fields of one log line.
struct JsonFields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0
            .insert(key.to_string(), serde_json::Value::from(value.to_string()));
        Ok(())
    }
}

/// Starts logging; each line has the fields `instance` and `domain`.
pub fn init_logs(instance: &str, domain: &str) {
    let instance = instance.to_owned();
    let domain = domain.to_owned();
    let env = Env::new().filter_or(FILTER_VARIABLE, DEFAULT_FILTER);
    let writer = match StdoutWriter::start() {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!("logs cannot be written: {error}");
            return;
        }
    };
    let init_result = Builder::from_env(env)
        .target(Target::Pipe(Box::new(writer)))
        .format(move |out, record| {
            let mut fields = JsonFields(Map::new());
            let since_epoch = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let time_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
            fields.0.insert("time_ms".into(), time_ms.into());
            fields
                .0
                .insert("level".into(), record.level().as_str().into());
            fields.0.insert("instance".into(), instance.as_str().into());
            fields.0.insert("domain".into(), domain.as_str().into());
            fields.0.insert("module".into(), record.target().into());
            fields
                .0
                .insert("message".into(), record.args().to_string().into());
            if record.key_values().visit(&mut fields).is_err() {
                fields.0.insert("fields".into(), "incomplete".into());
            }
            writeln!(out, "{}", serde_json::Value::Object(fields.0))
        })
        .try_init();
    if init_result.is_err() {
        log::warn!("logging is already initialized");
    }
}
