//! Stand-in for the cloud API and the VM list, with refusals, notices and a lag.

use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_web::{HttpResponse, web};
use laburnumstall_core::cloud::{OwnedVm, ReclaimNotice, VmRequest};
use laburnumstall_core::ids::{AvailabilityZone, VmClass, VmId};
use laburnumstall_core::world::{Market, Vm, VmState};
use laburnumstall_platform::cloud::{NOTICES_PATH, NoticePage, VMS_PATH, VmAnswer};
use laburnumstall_platform::vm_list::VM_LIST_PATH;
use serde::Deserialize;

use crate::server::{Server, StandIn, broken_response, count_down, lock, unix_now};

/// Time between two looks of a waiting call at the notices.
const NOTICE_POLL: Duration = Duration::from_millis(5);

/// Views of the VM list that are kept for its lag.
const MAX_VIEWS: usize = 4_096;

/// Starts and stops what runs on the VMs.
pub trait VmHook: Send + 'static {
    /// A VM was granted; returns the address of the process on it.
    fn started(&mut self, id: &VmId, request: &VmRequest) -> SocketAddr;

    /// A VM was taken or given back.
    fn stopped(&mut self, id: &VmId);
}

/// A hook that runs nothing.
pub struct NoProcess;

impl VmHook for NoProcess {
    fn started(&mut self, _id: &VmId, _request: &VmRequest) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, 0).into()
    }

    fn stopped(&mut self, _id: &VmId) {}
}

/// Requests for VMs that are refused; an empty field stands for all.
#[derive(Debug, Clone, Default)]
pub struct RefusalRule {
    /// Machine class.
    pub class: Option<VmClass>,
    /// Zone.
    pub zone: Option<AvailabilityZone>,
    /// Market.
    pub market: Option<Market>,
}

impl RefusalRule {
    fn covers(&self, request: &VmRequest) -> bool {
        self.class.as_ref().is_none_or(|c| *c == request.class)
            && self.zone.as_ref().is_none_or(|z| *z == request.zone)
            && self.market.is_none_or(|m| m == request.market)
    }
}

/// State shared by the calls.
pub struct CloudState<H> {
    inner: Mutex<Inner<H>>,
}

struct Inner<H> {
    hook: H,
    vms: Vec<OwnedVm>,
    created: u64,
    notices: Vec<ReclaimNotice>,
    refusals: Vec<RefusalRule>,
    replies_to_lose: u32,
    list_lag: Duration,
    views: VecDeque<(Instant, Vec<Vm>)>,
}

/// A running cloud API with its VM list. `crash` and `resume` make an outage; the hook's
/// processes are the caller's to close.
pub type CloudStandIn<H> = Server<CloudState<H>>;

impl<H: VmHook> CloudStandIn<H> {
    /// Starts a cloud with no VMs.
    pub fn start(hook: H) -> io::Result<Self> {
        let inner = Inner {
            hook,
            vms: Vec::new(),
            created: 0,
            notices: Vec::new(),
            refusals: Vec::new(),
            replies_to_lose: 0,
            list_lag: Duration::ZERO,
            views: VecDeque::new(),
        };
        let inner = Mutex::new(inner);
        Self::serve(CloudState { inner }, Arc::default())
    }

    /// Adds a VM that was there before, such as one that runs an entry.
    pub fn add(&self, vm: Vm) {
        let mut inner = self.inner();
        inner.vms.push(OwnedVm { vm, token: None });
        inner.note_change();
    }

    /// Returns the VMs.
    pub fn vms(&self) -> Vec<Vm> {
        self.inner().current()
    }

    /// Announces that VMs are taken after `notice`; [`Self::take`] takes them.
    pub fn announce(&self, vms: &[VmId], notice: Duration) {
        let deadline = unix_now().after(notice);
        let mut inner = self.inner();
        for owned in &mut inner.vms {
            if vms.contains(&owned.vm.id) {
                owned.vm.state = VmState::Leaving { deadline };
            }
        }
        let notices = vms.iter().cloned();
        inner
            .notices
            .extend(notices.map(|vm| ReclaimNotice { vm, deadline }));
        inner.note_change();
    }

    /// Takes VMs away.
    pub fn take(&self, vms: &[VmId]) {
        let mut inner = self.inner();
        for vm in vms {
            inner.remove(vm);
        }
    }

    /// Refuses the requests for VMs that a rule covers.
    pub fn set_refusals(&self, rules: Vec<RefusalRule>) {
        self.inner().refusals = rules;
    }

    /// Loses the replies of the next `calls` requests and releases; they take effect.
    pub fn lose_replies(&self, calls: u32) {
        self.inner().replies_to_lose = calls;
    }

    /// Makes the VM list show what there was `lag` ago.
    pub fn set_list_lag(&self, lag: Duration) {
        self.inner().list_lag = lag;
    }

    fn inner(&self) -> MutexGuard<'_, Inner<H>> {
        self.state.inner()
    }
}

impl<H> CloudState<H> {
    fn inner(&self) -> MutexGuard<'_, Inner<H>> {
        lock(&self.inner)
    }
}

impl<H: VmHook> Inner<H> {
    fn current(&self) -> Vec<Vm> {
        self.vms.iter().map(|owned| owned.vm.clone()).collect()
    }

    fn note_change(&mut self) {
        let view = self.current();
        self.views.push_back((Instant::now(), view));
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
        }
    }

    fn lagging(&self) -> Vec<Vm> {
        let now = Instant::now();
        let is_shown = |at: &Instant| now.duration_since(*at) >= self.list_lag;
        let newest = self.views.iter().rev().find(|(at, _)| is_shown(at));
        newest.map(|(_, view)| view.clone()).unwrap_or_default()
    }

    fn request(&mut self, request: VmRequest) -> VmAnswer {
        let is_same = |owned: &&OwnedVm| owned.token.as_ref() == Some(&request.token);
        if let Some(known) = self.vms.iter().find(is_same) {
            let owned = Box::new(known.clone());
            return VmAnswer::Granted { owned };
        }
        if self.refusals.iter().any(|rule| rule.covers(&request)) {
            return VmAnswer::Refused;
        }
        let owned = self.create(request);
        self.vms.push(owned.clone());
        self.note_change();
        VmAnswer::Granted {
            owned: Box::new(owned),
        }
    }

    fn create(&mut self, request: VmRequest) -> OwnedVm {
        self.created += 1;
        let name = format!("vm-{}", self.created);
        let id: VmId = name.parse().expect("the name is visible ASCII");
        let address = self.hook.started(&id, &request);
        let vm = Vm {
            id,
            zone: request.zone,
            class: request.class,
            market: request.market,
            role: request.role,
            address,
            state: VmState::Live,
        };
        let token = Some(request.token);
        OwnedVm { vm, token }
    }

    fn remove(&mut self, id: &VmId) {
        let before = self.vms.len();
        self.vms.retain(|owned| owned.vm.id != *id);
        if self.vms.len() < before {
            self.hook.stopped(id);
            self.note_change();
        }
    }

    fn notices_after(&self, after: u64) -> NoticePage {
        let skipped = usize::try_from(after).unwrap_or(usize::MAX);
        NoticePage {
            next: self.notices.len() as u64,
            notices: self.notices.iter().skip(skipped).cloned().collect(),
        }
    }
}

impl<H: VmHook> StandIn for CloudState<H> {
    fn routes(cfg: &mut web::ServiceConfig) {
        cfg.route(VMS_PATH, web::get().to(list::<H>))
            .route(VMS_PATH, web::post().to(request::<H>))
            .route(
                &format!("{VMS_PATH}/{{vm}}"),
                web::delete().to(release::<H>),
            )
            .route(VM_LIST_PATH, web::get().to(lagging_list::<H>))
            .route(NOTICES_PATH, web::get().to(notices::<H>));
    }
}

#[derive(Deserialize)]
struct NoticeQuery {
    after: u64,
    wait_ms: u64,
}

async fn list<H: VmHook>(state: web::Data<CloudState<H>>) -> HttpResponse {
    HttpResponse::Ok().json(&state.inner().vms)
}

async fn lagging_list<H: VmHook>(state: web::Data<CloudState<H>>) -> HttpResponse {
    HttpResponse::Ok().json(state.inner().lagging())
}

async fn request<H: VmHook>(
    state: web::Data<CloudState<H>>,
    request: web::Json<VmRequest>,
) -> HttpResponse {
    let mut inner = state.inner();
    let answer = inner.request(request.into_inner());
    match count_down(&mut inner.replies_to_lose) {
        true => broken_response(),
        false => HttpResponse::Ok().json(answer),
    }
}

async fn release<H: VmHook>(state: web::Data<CloudState<H>>, vm: web::Path<VmId>) -> HttpResponse {
    let mut inner = state.inner();
    inner.remove(&vm);
    match count_down(&mut inner.replies_to_lose) {
        true => broken_response(),
        false => HttpResponse::Ok().json(()),
    }
}

async fn notices<H: VmHook>(
    state: web::Data<CloudState<H>>,
    query: web::Query<NoticeQuery>,
) -> HttpResponse {
    let ends = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let page = state.inner().notices_after(query.after);
        if !page.notices.is_empty() || Instant::now() >= ends {
            return HttpResponse::Ok().json(page);
        }
        tokio::time::sleep(NOTICE_POLL).await;
    }
}
