//! Identification of the organisation that a request belongs to.

use crate::entry::Credential;
use config::Organisation;
use config::Route;
use config::Snapshot;
use errors::Reason;

/// Returns the organisation of a request on `route`; `None` if the request needs none.
///
/// # Errors
///
/// [`Reason::UnknownKey`] if the route needs a key and the request has none that the configuration lists.
pub fn identify<'a>(
    snapshot: &'a Snapshot,
    route: &Route,
    credential: Credential,
) -> Result<Option<&'a Organisation>, Reason> {
    if route.public || !snapshot.has_organisations() {
        return Ok(None);
    }
    match credential {
        Credential::Onward => Ok(None),
        Credential::None => Err(Reason::UnknownKey),
        Credential::Key(digest) => snapshot
            .find_key_holder(&digest)
            .and_then(|holder| snapshot.organisation(holder))
            .map(Some)
            .ok_or(Reason::UnknownKey),
    }
}
