//! The node process: wires settings, plug-ins, the control thread and the traffic threads.
//!
//! The calling thread becomes the control thread: it alone steps the control machine. The traffic
//! threads run the front end and read the published topologies.

mod beliefs;
mod build;
mod executor;
mod peer;
mod reload;
mod run;
mod states;

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

use kernel::plugin;

pub use build::check_plugins;
pub use run::run;
pub use run::run_until;

// Without these the linker would drop the plug-ins with their registrations.
use admit as _;
use balance as _;
use health as _;
use http1 as _;
use retry as _;

quick_error! {
    /// Why a node cannot run.
    #[derive(Debug)]
    pub enum Error {
        /// A plug-in cannot be built.
        Plugin { key: &'static str, error: plugin::Error } {
            display("{key}: {error}")
        }
        /// An address cannot be listened on.
        Listen { key: &'static str, address: SocketAddr, error: io::Error } {
            display("listen.{key}: {address}: {error}")
        }
        /// The front end cannot listen; its error begins with the key and the address.
        FrontEnd(error: io::Error) {
            display("listen.{error}")
        }
        /// The agent cannot listen; its error begins with the address.
        Agent(error: io::Error) {
            display("agent: {error}")
        }
        /// The node ended before all that ran was finished.
        DrainIncomplete { reason: &'static str, running: u32, forwarded: usize } {
            display("{reason}; cut off: {running} running and {forwarded} forwarded requests")
        }
        /// A thread or runtime cannot be started.
        Start(error: io::Error) {
            from()
            display("cannot start: {error}")
        }
        /// Counters cannot be set up.
        Metrics(error: telemetry::Error) {
            from()
            display("{error}")
        }
    }
}
