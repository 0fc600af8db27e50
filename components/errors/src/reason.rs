//! Reasons for refusing, retrying or dropping a request or message.

use std::fmt;
use std::str::FromStr;

/// Declares [`Reason`] with the name and the summary of each variant, so that no variant lacks one.
macro_rules! reasons {
    ($($variant:ident $name:literal $summary:literal)*) => {
        /// Reason why a request or message was refused, retried or dropped.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Reason {
            $(#[doc = $summary] $variant,)*
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Value of the `reason` label and of the `medlar-reason` header.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// One-sentence explanation, used as the message of error answers.
            pub fn summary(self) -> &'static str {
                match self {
                    $(Self::$variant => $summary,)*
                }
            }
        }
    };
}

reasons! {
    NoConfiguration "no-configuration" "The node holds no configuration yet."
    NoRoute "no-route" "No route matches the method and path."
    UnknownKey "unknown-key" "The request has no key that the configuration lists."
    KeysUnverified "keys-unverified" "The node cannot verify at present that keys have not been withdrawn."
    LimitReached "limit-reached" "The organisation has used up its rate limit."
    LimitUnknown "limit-unknown" "The node cannot find out at present whether the organisation's rate limit allows the request."
    LinkBusy "link-busy" "The link of the instance cannot carry the response in time."
    NoEndpoint "no-endpoint" "No endpoint of the service can take requests."
    QueueFull "queue-full" "The queue of the rank is full."
    Displaced "displaced" "A more urgent request took the place in the queue."
    DeadlineTooShort "deadline-too-short" "The request cannot finish before its deadline."
    ObjectiveTooShort "objective-too-short" "The request would miss its latency objective here but may meet it elsewhere."
    DeadlinePassed "deadline-passed" "The deadline passed."
    ShedEarly "shed-early" "The owners report that they refuse work of this rank."
    Draining "draining" "The endpoint is leaving and takes no new work."
    Warming "warming" "The endpoint is not ready yet."
    CallerLeft "caller-left" "The caller closed its connection."
    Fenced "fenced" "An outcome query fenced the request before it arrived."
    Duplicate "duplicate" "A request with the same id was already accepted."
    ConnectFailed "connect-failed" "No connection could be opened."
    ConnectionBroken "connection-broken" "The connection broke before the answer was complete."
    ConnectionSilent "connection-silent" "Nothing arrived on the connection within the bound."
    UpstreamCrashed "upstream-crashed" "The upstream crashed while the request ran."
    Quarantined "quarantined" "The request is suspect of crashing upstreams and does not run for a while."
    UpstreamRefused "upstream-refused" "The upstream answered with a status that means not run."
    BudgetSpent "budget-spent" "The retry budget of the service is spent."
    NotRepeatable "not-repeatable" "The route is not idempotent and the request may have run."
    AttemptsSpent "attempts-spent" "The request has been tried as often as allowed."
    OuterRetries "outer-retries" "A level further out retries this request."
    TooLarge "too-large" "The request or answer exceeds a size bound."
    LimitsDiffer "limits-differ" "The owner's limits do not admit the request, those of the entry do."
    Malformed "malformed" "The message breaks its protocol."
    QueueOverflow "queue-overflow" "A bounded channel inside the node was full."
    OutcomeUnknown "outcome-unknown" "The owner could not say whether the request ran."
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Reason {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.name() == text)
            .ok_or(())
    }
}
