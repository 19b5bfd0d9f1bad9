//! Calls to the platform's services, made on their own thread.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler, ResponseFuture, WrapFuture};
use laburnumstall_core::entry::Event;
use laburnumstall_core::ids::CallId;
use laburnumstall_core::store::{StoreCall, StoreOutcome};
use laburnumstall_outside::cloud::{Cloud, HttpCloud};
use laburnumstall_outside::http::HttpSettings;
use laburnumstall_outside::key_value::{HttpKeyValue, KeyValue};
use laburnumstall_outside::vm_list::{HttpVmList, VmList};

use crate::inbox::Inbox;
use crate::metrics::{Metrics, StoreCallKind};
use crate::settings::Settings;

/// Time between two reads of the VM list.
const VM_LIST_PERIOD: Duration = Duration::from_secs(1);

/// Long-poll timeout of a call for notices.
const NOTICE_WAIT: Duration = Duration::from_secs(10);

/// Delay before retrying a failed call for notices.
const NOTICE_RETRY: Duration = Duration::from_millis(500);

/// Actor that calls the platform's services and reports the outcomes.
pub struct Platform {
    pub(crate) store: Rc<HttpKeyValue>,
    pub(crate) cloud: Option<Rc<HttpCloud>>,
    vm_list: Option<Rc<HttpVmList>>,
    pub(crate) inbox: Inbox,
    pub(crate) metrics: Metrics,
}

impl Platform {
    /// Creates the HTTP clients.
    pub fn new(settings: &Settings, inbox: Inbox, metrics: Metrics) -> Self {
        let cloud = settings.cloud.map(HttpSettings::new);
        let vm_list = settings.vm_list.map(HttpSettings::new);
        Self {
            store: Rc::new(HttpKeyValue::new(HttpSettings::new(settings.store))),
            cloud: cloud.map(|http| Rc::new(HttpCloud::new(http))),
            vm_list: vm_list.map(|http| Rc::new(HttpVmList::new(http))),
            inbox,
            metrics,
        }
    }
}

impl Actor for Platform {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        if let Some(vm_list) = self.vm_list.clone() {
            let watch = watch_vms(vm_list, self.inbox.clone());
            cx.spawn(watch.into_actor(self));
        }
        if let Some(cloud) = self.cloud.clone() {
            let watch = watch_notices(cloud, self.inbox.clone());
            cx.spawn(watch.into_actor(self));
        }
    }
}

/// Calls the key-value service; the outcome is pushed to the inbox.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct CallStore {
    /// Id that the outcome repeats.
    pub id: CallId,
    /// Operation to perform.
    pub call: StoreCall,
}

impl Handler<CallStore> for Platform {
    type Result = ();

    fn handle(&mut self, msg: CallStore, cx: &mut Self::Context) {
        let store = self.store.clone();
        let inbox = self.inbox.clone();
        let metrics = self.metrics.clone();
        let work = async move {
            let kind = StoreCallKind::from(&msg.call);
            let started = Instant::now();
            let outcome = store.call(msg.call).await;
            metrics.store_call(kind, &outcome, started.elapsed());
            inbox.event(Event::Store {
                call: msg.id,
                outcome,
            });
        };
        cx.spawn(work.into_actor(self));
    }
}

/// Calls the key-value service; the outcome is returned to the sender.
#[derive(actix::Message)]
#[rtype(result = "StoreOutcome")]
pub struct QueryStore(pub StoreCall);

impl Handler<QueryStore> for Platform {
    type Result = ResponseFuture<StoreOutcome>;

    fn handle(&mut self, QueryStore(call): QueryStore, _cx: &mut Self::Context) -> Self::Result {
        let store = self.store.clone();
        Box::pin(async move { store.call(call).await })
    }
}

async fn watch_vms(vm_list: Rc<HttpVmList>, inbox: Inbox) {
    loop {
        // A failed read is ignored; the next period retries it.
        if let Ok(vms) = vm_list.list().await {
            inbox.event(Event::Vms(vms));
        }
        tokio::time::sleep(VM_LIST_PERIOD).await;
    }
}

async fn watch_notices(cloud: Rc<HttpCloud>, inbox: Inbox) {
    let mut after = 0;
    loop {
        match cloud.notices(after, NOTICE_WAIT).await {
            Ok(page) => {
                after = page.next;
                for notice in page.notices {
                    inbox.event(Event::Notice(notice));
                }
            }
            Err(_) => tokio::time::sleep(NOTICE_RETRY).await,
        }
    }
}
