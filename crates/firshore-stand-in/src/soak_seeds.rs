//! Which seeds a soak plays: a few each time, more by hand.

/// Variable that sets how many seeds are played.
const COUNT_VARIABLE: &str = "FIRSHORE_SOAK_SEEDS";

/// Variable that sets the first seed; without it, seeds that failed once are played too.
const FIRST_VARIABLE: &str = "FIRSHORE_SOAK_FIRST_SEED";

/// Returns a number from the environment, for plays by hand.
///
/// # Panics
///
/// If the variable is set to something else than a number.
pub fn number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(
        text.parse()
            .unwrap_or_else(|_| panic!("{name} is a number")),
    )
}

/// Returns the seeds of a play: `count` unless the environment sets how many, and those that failed once
/// unless it sets the first.
///
/// # Panics
///
/// If one of the variables is set to something else than a number.
pub fn seeds(count: u64, failed: &[u64]) -> Vec<u64> {
    let count = number(COUNT_VARIABLE).unwrap_or(count);
    let Some(first) = number(FIRST_VARIABLE) else {
        return (1..=count).chain(failed.iter().copied()).collect();
    };
    (first..first + count).collect()
}
