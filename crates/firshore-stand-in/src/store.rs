//! A store of versioned objects in memory, with faults to be switched on.

use firshore_adapter::objects::{
    Answer, Change, Changes, Object, ObjectError, ObjectStore, Page, Revision,
};
use futures_util::FutureExt;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Objects in one page of a listing.
const PAGE_OBJECTS: usize = 3;

/// Time after which a silent store's callers give up.
const SILENCE: Duration = Duration::from_millis(20);

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It refuses every call; nothing is done.
    Refuses,
    /// It answers nothing; nothing is done.
    Silent,
    /// It does what it is told and loses the answer.
    LosesAnswers,
}

#[derive(Default)]
struct Inner {
    objects: BTreeMap<(String, String), Object>,
    history: Vec<(Revision, String, Change)>,
    forgotten: Revision,
    revision: Revision,
}

/// The store.
#[derive(Default)]
pub struct MemoryStore {
    inner: RefCell<Inner>,
    changed: Notify,
    fault: Cell<Fault>,
    calls: Cell<usize>,
    probes: Cell<usize>,
}

impl MemoryStore {
    /// An empty store.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Switches a fault on or off.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// Drops the history: whoever watches from before now has to list anew.
    pub fn forget_history(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.history.clear();
        inner.forgotten = inner.revision;
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Number of calls so far, without those that only ask whether the store can be reached.
    pub fn calls(&self) -> usize {
        self.calls.get()
    }

    /// Number of calls so far that only ask whether the store can be reached.
    pub fn probes(&self) -> usize {
        self.probes.get()
    }

    /// Writes an object as operators or back ends do, whatever stands there.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let status = match self.object(kind, name) {
            Some(object) => object.status,
            None => Value::Null,
        };
        self.store(kind, name, spec, status);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.inner.borrow_mut();
        inner.objects.remove(&(kind.to_owned(), name.to_owned()));
        inner.revision += 1;
        let revision = inner.revision;
        let gone = Change::Removed(name.to_owned());
        inner.history.push((revision, kind.to_owned(), gone));
        drop(inner);
        self.changed.notify_waiters();
    }

    /// An object as it is.
    pub fn object(&self, kind: &str, name: &str) -> Option<Object> {
        let inner = self.inner.borrow();
        let found = inner.objects.get(&(kind.to_owned(), name.to_owned()));
        found.cloned()
    }

    fn store(&self, kind: &str, name: &str, spec: Value, status: Value) {
        let mut inner = self.inner.borrow_mut();
        inner.revision += 1;
        let object = Object {
            name: name.to_owned(),
            revision: inner.revision,
            spec,
            status,
        };
        let change = (
            inner.revision,
            kind.to_owned(),
            Change::Written(object.clone()),
        );
        inner.history.push(change);
        inner
            .objects
            .insert((kind.to_owned(), name.to_owned()), object);
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Lets a fault have its way before a call is carried out.
    async fn arrive(&self) -> Result<(), ObjectError> {
        self.calls.set(self.calls.get() + 1);
        self.suffer().await
    }

    async fn suffer(&self) -> Result<(), ObjectError> {
        match self.fault.get() {
            Fault::None | Fault::LosesAnswers => Ok(()),
            Fault::Refuses => Err(ObjectError::Refused("switched off".to_owned())),
            Fault::Silent => {
                actix_rt::time::sleep(SILENCE).await;
                Err(ObjectError::Unanswered("silent".to_owned()))
            }
        }
    }

    /// Lets a fault have its way after a call was carried out.
    fn leave<T>(&self, answer: T) -> Result<T, ObjectError> {
        match self.fault.get() {
            Fault::LosesAnswers => Err(ObjectError::Unanswered("lost".to_owned())),
            _ => Ok(answer),
        }
    }

    fn changes_after(&self, kind: &str, after: Revision) -> Result<Changes, ObjectError> {
        let inner = self.inner.borrow();
        if after < inner.forgotten {
            return Err(ObjectError::HistoryGone);
        }
        let later = inner.history.iter().filter(|(at, _, _)| *at > after);
        let of_kind = later.filter(|(_, of, _)| of == kind);
        Ok(Changes {
            changes: of_kind.map(|(_, _, change)| change.clone()).collect(),
            revision: inner.revision,
        })
    }

    fn check(&self, kind: &str, name: &str, revision: Revision) -> Result<Object, ObjectError> {
        match self.object(kind, name) {
            None => Err(ObjectError::Missing),
            Some(object) if object.revision != revision => Err(ObjectError::Conflict),
            Some(object) => Ok(object),
        }
    }
}

impl ObjectStore for MemoryStore {
    fn list<'a>(&'a self, kind: &'a str, after: Option<&'a str>) -> Answer<'a, Page> {
        async move {
            self.arrive().await?;
            let inner = self.inner.borrow();
            let of_kind = inner.objects.iter().filter(|((of, _), _)| of == kind);
            let later =
                of_kind.filter(|((_, name), _)| after.is_none_or(|one| name.as_str() > one));
            let mut objects: Vec<Object> = later.map(|(_, object)| object.clone()).collect();
            let more = objects.len() > PAGE_OBJECTS;
            objects.truncate(PAGE_OBJECTS);
            let page = Page {
                objects,
                more,
                revision: inner.revision,
            };
            drop(inner);
            self.leave(page)
        }
        .boxed_local()
    }

    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Answer<'a, Option<Object>> {
        async move {
            self.arrive().await?;
            self.leave(self.object(kind, name))
        }
        .boxed_local()
    }

    fn create<'a>(&'a self, kind: &'a str, name: &'a str, spec: Value) -> Answer<'a, ()> {
        async move {
            self.arrive().await?;
            if self.object(kind, name).is_some() {
                return Err(ObjectError::Conflict);
            }
            self.store(kind, name, spec, Value::Null);
            self.leave(())
        }
        .boxed_local()
    }

    fn replace<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        spec: Value,
    ) -> Answer<'a, ()> {
        async move {
            self.arrive().await?;
            let object = self.check(kind, name, revision)?;
            self.store(kind, name, spec, object.status);
            self.leave(())
        }
        .boxed_local()
    }

    fn replace_status<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
        status: Value,
    ) -> Answer<'a, ()> {
        async move {
            self.arrive().await?;
            let object = self.check(kind, name, revision)?;
            self.store(kind, name, object.spec, status);
            self.leave(())
        }
        .boxed_local()
    }

    fn reach<'a>(&'a self) -> Answer<'a, Revision> {
        async move {
            self.probes.set(self.probes.get() + 1);
            self.suffer().await?;
            self.leave(self.inner.borrow().revision)
        }
        .boxed_local()
    }

    fn watch<'a>(&'a self, kind: &'a str, after: Revision, wait: Duration) -> Answer<'a, Changes> {
        async move {
            self.arrive().await?;
            let deadline = tokio::time::Instant::now() + wait;
            loop {
                let changed = self.changed.notified();
                let changes = self.changes_after(kind, after)?;
                if !changes.changes.is_empty() {
                    return self.leave(changes);
                }
                if tokio::time::timeout_at(deadline, changed).await.is_err() {
                    return self.leave(changes);
                }
            }
        }
        .boxed_local()
    }
}
