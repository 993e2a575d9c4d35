//! Lists all objects of a kind, page by page.

use firshore_adapter::objects::{Object, ObjectError, ObjectStore, Page};
use std::collections::HashSet;

/// Position in a listing.
#[derive(Clone, Debug, Default)]
pub struct ListingPosition {
    after: Option<String>,
    /// Names after which pages were requested. The store determines the order of names, so that only a repeated one
    /// shows that a listing goes round.
    passed: HashSet<String>,
}

impl ListingPosition {
    /// Returns the name after which the next page starts; `None` for the first page.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Advances behind a page that isn't the last one. Returns whether the listing can continue: the page has a
    /// readable name after which no page was requested yet.
    pub fn advance(&mut self, page: &Page) -> bool {
        let Some(cursor) = page.cursor() else {
            return false;
        };
        self.after = Some(cursor.to_owned());
        self.passed.insert(cursor.to_owned())
    }
}

/// Returns all objects of a kind. Those without a readable name have an empty one.
///
/// # Errors
///
/// Fails if the store does, or if a page has no name to continue after.
pub async fn list_all(store: &dyn ObjectStore, kind: &str) -> Result<Vec<Object>, ObjectError> {
    let mut objects: Vec<Object> = Vec::new();
    let mut position = ListingPosition::default();
    loop {
        let page = store.list(kind, position.after()).await?;
        if page.more && !position.advance(&page) {
            let reason = "more objects follow, and no name to continue after";
            return Err(ObjectError::Unanswered(reason.to_owned()));
        }
        objects.extend(page.objects);
        if !page.more {
            return Ok(objects);
        }
    }
}
