//! Builds the plug-ins that the settings name.

use crate::Error;
use front::AGENT_PLUGINS;
use front::Agent;
use front::FRONT_END_PLUGINS;
use front::FrontEnd;
use kernel::Plugin;
use kernel::plugin;
use policy::ADMISSION_PLUGINS;
use policy::Admission;
use policy::BALANCE_PLUGINS;
use policy::Balance;
use policy::HEALTH_PLUGINS;
use policy::Health;
use policy::RETRY_PLUGINS;
use policy::Retry;
use settings::PluginConfig;
use settings::Settings;
use store::STORE_PLUGINS;
use store::Store;
use transport::TRANSPORT_PLUGINS;
use transport::Transport;

/// The configured plug-in of each extension point.
pub(crate) struct Plugins {
    pub(crate) store: Box<dyn Store>,
    pub(crate) agent: Box<dyn Agent>,
    pub(crate) front: Box<dyn FrontEnd>,
    pub(crate) transport: Box<dyn Transport>,
    pub(crate) admission: Box<dyn Admission>,
    pub(crate) balance: Box<dyn Balance>,
    pub(crate) retry: Box<dyn Retry>,
    pub(crate) health: Box<dyn Health>,
}

impl Plugins {
    /// Builds the configured plug-ins; fails on an unknown plug-in name or an invalid param.
    pub(crate) fn from_settings(settings: &Settings) -> Result<Self, Error> {
        Ok(Self {
            store: build("store", &STORE_PLUGINS, &settings.store)?,
            agent: build("agent", &AGENT_PLUGINS, &settings.agent)?,
            front: build("front", &FRONT_END_PLUGINS, &settings.front)?,
            transport: build("transport", &TRANSPORT_PLUGINS, &settings.transport)?,
            admission: build("admission", &ADMISSION_PLUGINS, &settings.admission)?,
            balance: build("balance", &BALANCE_PLUGINS, &settings.balance)?,
            retry: build("retry", &RETRY_PLUGINS, &settings.retry)?,
            health: build("health", &HEALTH_PLUGINS, &settings.health)?,
        })
    }
}

/// Checks the names and params of all configured plug-ins.
pub fn check_plugins(settings: &Settings) -> Result<(), Error> {
    Plugins::from_settings(settings).map(drop)
}

fn build<T: ?Sized>(
    key: &'static str,
    plugins: &[Plugin<T>],
    plugin_config: &PluginConfig,
) -> Result<Box<T>, Error> {
    plugin::build(key, plugins, &plugin_config.plugin, &plugin_config.params())
        .map_err(|error| Error::Plugin { key, error })
}
