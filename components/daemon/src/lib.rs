//! The node process: connects settings, plug-ins, the control thread and the traffic threads.
//!
//! The thread that calls [`run`] becomes the control thread, the only one that steps the control state
//! machine. The traffic threads run the front end and read the topologies that it publishes.

mod event_log;
mod executor;
mod key_freshness;
mod peer;
mod plugins;
mod reload;
mod rollout_calls;
mod rollout_log;
mod run;
mod state_metrics;

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

use kernel::plugin;

pub use plugins::check_plugins;
pub use run::run;
pub use run::run_until;

// Without these imports the linker would drop the crates together with the plug-ins they register.
use admit as _;
use balance as _;
use health as _;
use http1 as _;
use retry as _;

quick_error! {
    /// Why a node could not start, or did not stop cleanly.
    #[derive(Debug)]
    pub enum Error {
        /// A plug-in cannot be built; `key` is the key of its extension point in the settings.
        Plugin { key: &'static str, error: plugin::Error } {
            display("{key}: {error}")
        }
        /// A listen address of the settings cannot be bound; `key` is its key below `listen`.
        Listen { key: &'static str, address: SocketAddr, error: io::Error } {
            display("listen.{key}: {address}: {error}")
        }
        /// The front end cannot bind an address; its error begins with the settings key and the address.
        FrontEnd(error: io::Error) {
            display("listen.{error}")
        }
        /// The agent cannot bind an address; its error begins with the address.
        Agent(error: io::Error) {
            display("agent: {error}")
        }
        /// The node stopped before `running` requests at its upstream and `forwarded` calls of its entry
        /// had ended; `step` is what its drain was waiting for.
        DrainIncomplete { reason: &'static str, running: u32, forwarded: usize, step: &'static str } {
            display("{reason}; cut off: {running} running and {forwarded} forwarded requests, \
                    waiting for {step}")
        }
        /// A thread or runtime cannot be started.
        Start(error: io::Error) {
            from()
            display("cannot start: {error}")
        }
        /// The metrics cannot be set up.
        Metrics(error: telemetry::Error) {
            from()
            display("{error}")
        }
    }
}
