//! Registry of plug-ins.
//!
//! A crate declares an extension point as a distributed slice of [`Plugin`]s, and plug-ins add
//! themselves to the slice at link time. Each extension point also adds itself to
//! [`EXTENSION_POINTS`], so that a program can list its extension points and plug-ins.

use std::ops::RangeInclusive;

use linkme::distributed_slice;
use quick_error::quick_error;

use crate::quantity;

/// Accepted values of a limit.
const LIMITS: RangeInclusive<f64> = 0.0..=u64::MAX as f64;

/// All extension points of the program.
#[distributed_slice]
pub static EXTENSION_POINTS: [ExtensionPoint];

/// An extension point: a trait whose implementations are plug-ins that the settings select by name.
#[derive(Clone, Copy, Debug)]
pub struct ExtensionPoint {
    /// Kind of plug-in; the key of the extension point in the settings.
    pub kind: &'static str,
    /// Names of the registered plug-ins, sorted.
    pub names: fn() -> Vec<&'static str>,
}

/// A registered plug-in that implements the trait `T` of its extension point.
pub struct Plugin<T: ?Sized + 'static> {
    /// Name of the plug-in in the settings.
    pub name: &'static str,
    /// Builds the plug-in from its params; returns an error if a param is not usable.
    pub make: fn(&Params) -> Result<Box<T>, Error>,
}

/// Params of one plug-in from the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Params {
    /// Names and values, sorted by name.
    values: Vec<(String, String)>,
}

impl Params {
    /// Creates params from names and values; a later value replaces an earlier one of the same
    /// name.
    pub fn from_pairs(pairs: impl IntoIterator<Item = (String, String)>) -> Self {
        let mut params = Self::default();
        for (name, value) in pairs {
            params.set(&name, value);
        }
        params
    }

    /// Sets the param `name`; replaces an earlier value.
    pub fn set(&mut self, name: &str, value: String) {
        match self.position(name) {
            Ok(index) => self.values[index].1 = value,
            Err(index) => self.values.insert(index, (name.to_owned(), value)),
        }
    }

    /// Returns the value of the param `name` as written in the settings. An empty value counts as not
    /// set.
    pub fn get(&self, name: &str) -> Option<&str> {
        let index = self.position(name).ok()?;
        Some(self.values[index].1.as_str()).filter(|value| !value.is_empty())
    }

    /// Parses the param `name` as a whole number; returns `default` if the param is not set.
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

    /// Parses the param `name` as a limit on whole things, of which a fraction is dropped; returns
    /// `default` if the param is not set or states no figure.
    pub fn limit_or(&self, name: &str, default: u64) -> Result<u64, Error> {
        let limit = self.quantity(name, LIMITS)?;
        Ok(limit.map_or(default, |limit| limit as u64))
    }

    /// Parses the param `name` as a number in `range`; returns `default` if the param is not set or
    /// states no figure.
    pub fn f64_or(
        &self,
        name: &str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> Result<f64, Error> {
        Ok(self.quantity(name, range)?.unwrap_or(default))
    }

    /// Parses the param `name` as a number in `range`; returns `None` if the param is not set or states
    /// no figure.
    pub fn quantity(&self, name: &str, range: RangeInclusive<f64>) -> Result<Option<f64>, Error> {
        let value = self.get(name).unwrap_or_default();
        quantity::parse(value, range).map_err(|error| Error::InvalidQuantity {
            name: name.to_owned(),
            value: value.to_owned(),
            hint: error.to_string(),
        })
    }

    /// Returns an error if the name of a param is not in `known`.
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

    /// Returns a copy without the param `name`.
    pub fn without(&self, name: &str) -> Self {
        let others = self.values.iter().filter(|(other, _)| other != name);
        Self {
            values: others.cloned().collect(),
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.values
            .binary_search_by(|(other, _)| other.as_str().cmp(name))
    }
}

quick_error! {
    /// Reason why a plug-in could not be built.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// No plug-in of this name is registered.
        UnknownPlugin { kind: &'static str, name: String, registered: String } {
            display("no {kind} plug-in is named {name:?}; registered: {registered}")
        }
        /// A param of the plug-in has an unknown name or an unusable value.
        InvalidParam { name: String, value: String, expected: &'static str } {
            display("plug-in param {name}: {value:?} is not {expected}")
        }
        /// A param of the plug-in is not a number in the range of the param.
        InvalidQuantity { name: String, value: String, hint: String } {
            display("plug-in param {name}: {value:?} is not usable; {hint}")
        }
    }
}

/// Returns the names of `plugins`, sorted.
pub fn list_names<T: ?Sized>(plugins: &[Plugin<T>]) -> Vec<&'static str> {
    let mut names: Vec<_> = plugins.iter().map(|plugin| plugin.name).collect();
    names.sort_unstable();
    names
}

/// Builds the plug-in called `name` of the extension point `kind` from `params`.
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
            registered: list_names(plugins).join(", "),
        }),
    }
}
