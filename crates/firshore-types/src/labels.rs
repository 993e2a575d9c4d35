//! Labels and the selectors operators write over them.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key-value pairs attached to services, pools, machines, tenants and jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct Labels(pub BTreeMap<String, String>);

impl Labels {
    /// Builds labels from pairs; a later pair replaces an earlier one of the same key.
    pub fn from_pairs<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        Self(
            pairs
                .into_iter()
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
                .collect(),
        )
    }

    /// Returns the value of `key`, if any.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Returns these labels merged with `other`, whose values take precedence.
    pub fn overlaid_with(&self, other: &Labels) -> Labels {
        let mut merged = self.0.clone();
        merged.extend(other.0.clone());
        Labels(merged)
    }
}

/// How an expression compares a label with its values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Operator {
    /// The label is present with one of the values.
    In,
    /// The label is absent or has none of the values.
    NotIn,
    /// The label is present.
    Exists,
    /// The label is absent.
    DoesNotExist,
}

/// One condition on one label.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Expression {
    /// The label's key.
    pub key: String,
    /// The comparison.
    pub operator: Operator,
    /// Values compared with; empty for `Exists` and `DoesNotExist`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub values: Vec<String>,
}

impl Expression {
    fn matches(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.key);
        let listed = value.is_some_and(|value| self.values.iter().any(|other| other == value));
        match self.operator {
            Operator::In => listed,
            Operator::NotIn => !listed,
            Operator::Exists => value.is_some(),
            Operator::DoesNotExist => value.is_none(),
        }
    }
}

/// A conjunction of conditions over labels. An empty selector matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Selector {
    /// Labels that must be present with exactly these values.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub match_labels: BTreeMap<String, String>,
    /// Further conditions, all of which must hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub match_expressions: Vec<Expression>,
}

impl Selector {
    /// Creates a selector of exact label values.
    pub fn matching<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        Self {
            match_labels: Labels::from_pairs(pairs).0,
            match_expressions: Vec::new(),
        }
    }

    /// Returns whether every condition holds for `labels`.
    pub fn matches(&self, labels: &Labels) -> bool {
        let exact = self
            .match_labels
            .iter()
            .all(|(key, value)| labels.get(key) == Some(value.as_str()));
        exact
            && self
                .match_expressions
                .iter()
                .all(|expression| expression.matches(labels))
    }
}
