//! JSON-lines logs.

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

use crate::writer::Output;

/// Environment variable with the log filter, such as `info` or `front=debug`.
const FILTER_VARIABLE: &str = "MEDLAR_LOG";
/// tarpc logs each call at `info`.
const DEFAULT_FILTER: &str = "info,tarpc=warn";

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0
            .insert(key.to_string(), serde_json::Value::from(value.to_string()));
        Ok(())
    }
}

/// Starts logging; `instance` and `domain` are on each line.
pub fn init_logs(instance: &str, domain: &str) {
    let instance = instance.to_owned();
    let domain = domain.to_owned();
    let env = Env::new().filter_or(FILTER_VARIABLE, DEFAULT_FILTER);
    let output = match Output::start() {
        Ok(output) => output,
        Err(error) => {
            eprintln!("logs cannot be written: {error}");
            return;
        }
    };
    let started = Builder::from_env(env)
        .target(Target::Pipe(Box::new(output)))
        .format(move |out, record| {
            let mut fields = Fields(Map::new());
            let since = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
            fields.0.insert("time_ms".into(), millis.into());
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
    if started.is_err() {
        log::warn!("logging was already started");
    }
}
