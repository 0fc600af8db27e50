//! Registry of plug-ins.
//!
//! Each extension point is a distributed slice of [`Plugin`]s that its crate declares; plug-ins add
//! themselves to it at link time. Each extension point also adds itself to [`EXTENSION_POINTS`], so that a
//! program can list what it holds.

use linkme::distributed_slice;
use quick_error::quick_error;

/// All extension points in the program.
#[distributed_slice]
pub static EXTENSION_POINTS: [ExtensionPoint];

/// One extension point.
#[derive(Clone, Copy, Debug)]
pub struct ExtensionPoint {
    /// Key of the extension point in the settings.
    pub kind: &'static str,
    /// Names of the registered plug-ins, sorted.
    pub names: fn() -> Vec<&'static str>,
}

/// One registered plug-in of the extension point `T`.
pub struct Plugin<T: ?Sized + 'static> {
    /// Name in the settings.
    pub name: &'static str,
    /// Builds an instance of the plug-in.
    pub make: fn(&Params) -> Result<Box<T>, Error>,
}

/// Settings of one plug-in, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Params {
    values: Vec<(String, String)>,
}

impl Params {
    /// Params with these values; a later value replaces an earlier one of the same name.
    pub fn from_pairs(pairs: impl IntoIterator<Item = (String, String)>) -> Self {
        let mut params = Self::default();
        for (name, value) in pairs {
            params.set(&name, value);
        }
        params
    }

    /// Sets one value.
    pub fn set(&mut self, name: &str, value: String) {
        match self.position(name) {
            Ok(at) => self.values[at].1 = value,
            Err(at) => self.values.insert(at, (name.to_owned(), value)),
        }
    }

    /// The value as written.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.position(name)
            .ok()
            .map(|at| self.values[at].1.as_str())
    }

    /// The value as a number, or `default` if it is not set.
    pub fn u64_or(&self, name: &str, default: u64) -> Result<u64, Error> {
        let Some(value) = self.get(name) else {
            return Ok(default);
        };
        value.parse().map_err(|_| Error::InvalidParam {
            name: name.to_owned(),
            value: value.to_owned(),
            expected: "a whole number",
        })
    }

    /// Refuses params whose name is not in `known`.
    pub fn check_names(&self, known: &[&str]) -> Result<(), Error> {
        match self
            .values
            .iter()
            .find(|(name, _)| !known.contains(&name.as_str()))
        {
            None => Ok(()),
            Some((name, value)) => Err(Error::InvalidParam {
                name: name.clone(),
                value: value.clone(),
                expected: "a known name",
            }),
        }
    }

    /// The params without this one.
    pub fn without(&self, name: &str) -> Self {
        let others = self.values.iter().filter(|(known, _)| known != name);
        Self {
            values: others.cloned().collect(),
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.values
            .binary_search_by(|(known, _)| known.as_str().cmp(name))
    }
}

quick_error! {
    /// Why a plug-in could not be built.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// No plug-in of this name is registered.
        UnknownPlugin { kind: &'static str, name: String, known: String } {
            display("no {kind} plug-in is named {name:?}; registered: {known}")
        }
        /// A param of the plug-in cannot be used.
        InvalidParam { name: String, value: String, expected: &'static str } {
            display("plug-in param {name}: {value:?} is not {expected}")
        }
    }
}

/// Names of `plugins`, sorted.
pub fn list_names<T: ?Sized>(plugins: &[Plugin<T>]) -> Vec<&'static str> {
    let mut names: Vec<_> = plugins.iter().map(|plugin| plugin.name).collect();
    names.sort_unstable();
    names
}

/// Builds the plug-in called `name`.
pub fn build<T: ?Sized>(
    kind: &'static str,
    plugins: &[Plugin<T>],
    name: &str,
    params: &Params,
) -> Result<Box<T>, Error> {
    match plugins.iter().find(|plugin| plugin.name == name) {
        Some(plugin) => (plugin.make)(params),
        None => Err(Error::UnknownPlugin {
            kind,
            name: name.to_owned(),
            known: list_names(plugins).join(", "),
        }),
    }
}
